//! Which report numbers have been seen.

use cactusnotch_base::number::Sequence;

/// How many numbers below the newest are remembered.
const SPAN: u64 = 64;

/// The numbers seen lately from one source. An old number that is no longer
/// remembered counts as seen, so that nothing is counted twice.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Window {
    newest: Option<Sequence>,
    /// Bit `n` stands for the number `newest - n`.
    seen: u64,
}

impl Window {
    /// Notes `sequence` and tells whether it had not been seen.
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
        self.fill(newest.0 - sequence.0)
    }

    fn advance(&mut self, by: u64) {
        self.seen = if by < SPAN { self.seen << by } else { 0 };
        self.seen |= 1;
    }

    fn fill(&mut self, age: u64) -> bool {
        if age >= SPAN {
            return false;
        }
        let bit = 1 << age;
        let new = self.seen & bit == 0;
        self.seen |= bit;
        new
    }
}
