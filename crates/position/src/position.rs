//! A place in the order of a store's changes.

use std::cmp::Ordering;
use std::fmt;

use serde::{Deserialize, Serialize};

use crate::era::Era;

/// A place in the order of a store's changes: a revision, and the era in which it was read.
///
/// Positions of one era are in the order of their revisions. Of positions of two eras neither
/// is before the other: the older one may stand for a change that is gone.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Position(Era, u64);

impl Position {
    /// Creates the position of `revision`, as it was read in `era`.
    #[must_use]
    pub const fn new(era: Era, revision: u64) -> Self {
        Self(era, revision)
    }

    /// Returns the era in which it was read.
    #[must_use]
    pub const fn era(self) -> Era {
        self.0
    }

    /// Returns its revision as it is written and logged, which can't be compared.
    #[must_use]
    pub const fn revision(self) -> impl fmt::Display + fmt::Debug {
        self.1
    }

    /// Returns the one of both that tells more: that of the newer era, or the later of one.
    #[must_use]
    pub fn newest(self, other: Self) -> Self {
        let is_newer = other.0 > self.0 || other > self;
        if is_newer { other } else { self }
    }

    /// Tells whether both may stand for the same change, read in two eras: a copy has the
    /// changes before it under the revisions that they had.
    #[must_use]
    pub const fn may_be_same(self, other: Self) -> bool {
        self.1 == other.1
    }
}

impl PartialOrd for Position {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        (self.0 == other.0).then(|| self.1.cmp(&other.1))
    }
}

impl fmt::Display for Position {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}:{}", self.0, self.1)
    }
}
