//! Detection of duplicate report numbers.

use cactusnotch_base::number::Sequence;

/// The number of sequence numbers that are remembered, up to the newest.
const WINDOW: u64 = 64;

/// The recent sequence numbers of one source. A number that is older than the
/// window counts as seen, so no report is counted twice.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Window {
    newest: Option<Sequence>,
    /// Bit `n` stands for the number `newest - n`.
    seen: u64,
}

impl Window {
    /// Records `sequence` and returns whether it is new.
    pub(crate) fn admit(&mut self, sequence: Sequence) -> bool {
        let Some(newest) = self.newest else {
            self.newest = Some(sequence);
            self.seen = 1;
            return true;
        };
        if sequence > newest {
            self.advance(sequence.0 - newest.0);
            self.newest = Some(sequence);
            return true;
        }
        self.mark(newest.0 - sequence.0)
    }

    fn advance(&mut self, by: u64) {
        self.seen = if by < WINDOW { self.seen << by } else { 0 };
        self.seen |= 1;
    }

    fn mark(&mut self, age: u64) -> bool {
        if age >= WINDOW {
            return false;
        }
        let bit = 1 << age;
        let new = self.seen & bit == 0;
        self.seen |= bit;
        new
    }
}
