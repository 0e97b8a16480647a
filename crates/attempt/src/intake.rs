//! The order of the pieces of an answer.

use cactusnotch_base::number::Sequence;

/// How a piece fits to those before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum Fit {
    /// It is the next one.
    Next,
    /// It was passed on before.
    Seen,
    /// Some pieces before it are missing.
    Gap,
}

/// The pieces that were passed on.
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

    /// Tells how a piece fits, and counts it if it is the next.
    pub(crate) fn take(&mut self, sequence: Sequence) -> Fit {
        if sequence <= self.last {
            return Fit::Seen;
        }
        if sequence > self.last.next() {
            return Fit::Gap;
        }
        self.last = sequence;
        Fit::Next
    }
}
