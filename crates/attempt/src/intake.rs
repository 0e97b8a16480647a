//! The sequence check for the pieces of an answer.

use cactusnotch_base::number::Sequence;

/// How a piece relates to the pieces before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum Fit {
    /// The piece is the next one.
    Next,
    /// The piece was already passed on.
    Duplicate,
    /// Earlier pieces are missing.
    Gap,
}

/// The pieces that were passed on to the caller.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct Intake {
    last: Sequence,
}

impl Intake {
    pub(crate) const fn new(after: Sequence) -> Self {
        Self { last: after }
    }

    /// Returns the last piece that was passed on.
    pub(crate) const fn last(&self) -> Sequence {
        self.last
    }

    /// Classifies a piece, and records it if it is the next one.
    pub(crate) fn record(&mut self, sequence: Sequence) -> Fit {
        if sequence <= self.last {
            return Fit::Duplicate;
        }
        if sequence > self.last.next() {
            return Fit::Gap;
        }
        self.last = sequence;
        Fit::Next
    }
}
