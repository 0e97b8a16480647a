//! The pieces of an answer, kept for retransmission.

use std::collections::VecDeque;

use bytes::{Bytes, BytesMut};
use cactusnotch_base::number::Sequence;

/// The memory overhead of a piece in its own allocation, in bytes.
const OVERHEAD: usize = 80;

/// The memory overhead of a piece in the shared allocation of a packed answer,
/// in bytes.
const PACKED_OVERHEAD: usize = 32;

/// The most recent pieces of an answer.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub(crate) struct Answer {
    /// The number of pieces produced by the run.
    made: Sequence,
    pieces: VecDeque<Bytes>,
    bytes: usize,
    packed: bool,
}

impl Answer {
    /// Appends a piece and returns its number.
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

    /// Returns the pieces that follow `after`, or `None` if some of them were
    /// dropped or `after` was never produced.
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

    /// Drops the oldest pieces until at most `limit` bytes remain, and returns
    /// the number of bytes dropped.
    pub(crate) fn shrink(&mut self, limit: usize) -> usize {
        let before = self.bytes;
        let overhead = if self.packed {
            PACKED_OVERHEAD
        } else {
            OVERHEAD
        };
        while self.bytes > limit {
            match self.pieces.pop_front() {
                Some(piece) => self.bytes -= piece.len() + overhead,
                None => break,
            }
        }
        if self.pieces.is_empty() {
            self.pieces.shrink_to_fit();
        }
        before - self.bytes
    }

    /// Moves the pieces of a finished answer into one allocation, and returns
    /// the number of bytes saved.
    pub(crate) fn pack(&mut self) -> usize {
        if self.packed || self.pieces.len() < 2 {
            return 0;
        }
        let mut whole = BytesMut::with_capacity(self.pieces.iter().map(Bytes::len).sum());
        for piece in &self.pieces {
            whole.extend_from_slice(piece);
        }
        let mut whole = whole.freeze();
        for piece in &mut self.pieces {
            *piece = whole.split_to(piece.len());
        }
        self.pieces.shrink_to_fit();
        self.packed = true;
        let saved = self.pieces.len() * (OVERHEAD - PACKED_OVERHEAD);
        self.bytes -= saved;
        saved
    }
}
