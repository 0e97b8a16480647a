//! The pieces of an answer, kept to be sent again.

use std::collections::VecDeque;

use bytes::Bytes;
use cactusnotch_base::number::Sequence;

/// What a kept piece takes beside its bytes.
const OVERHEAD: usize = 64;

/// The latest pieces of an answer.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub(crate) struct Answer {
    /// How many pieces the run has made.
    made: Sequence,
    pieces: VecDeque<Bytes>,
    bytes: usize,
}

impl Answer {
    /// Adds a piece and returns its number.
    pub(crate) fn push(&mut self, data: Bytes) -> Sequence {
        self.bytes += data.len() + OVERHEAD;
        self.pieces.push_back(data);
        self.made = self.made.next();
        self.made
    }

    /// Returns the number of the latest piece.
    pub(crate) fn made(&self) -> Sequence {
        self.made
    }

    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the pieces that follow `after`, or nothing if some of them are
    /// not kept or were never made.
    pub(crate) fn following(
        &self,
        after: Sequence,
    ) -> Option<impl Iterator<Item = (Sequence, &Bytes)>> {
        let dropped = self.made.0 - self.pieces.len() as u64;
        if after.0 < dropped || after > self.made {
            return None;
        }
        let skipped = usize::try_from(after.0 - dropped).ok()?;
        let numbers = (after.0 + 1..).map(Sequence);
        Some(numbers.zip(self.pieces.iter().skip(skipped)))
    }

    /// Drops the oldest pieces until at most `limit` bytes are left, and
    /// returns how many bytes were dropped.
    pub(crate) fn shrink(&mut self, limit: usize) -> usize {
        let before = self.bytes;
        while self.bytes > limit {
            match self.pieces.pop_front() {
                Some(piece) => self.bytes -= piece.len() + OVERHEAD,
                None => break,
            }
        }
        if self.pieces.is_empty() {
            self.pieces.shrink_to_fit();
        }
        before - self.bytes
    }
}
