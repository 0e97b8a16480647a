//! A position in the sequence of a store's changes.

use std::cmp::Ordering;
use std::fmt;

use serde::{Deserialize, Serialize};

use crate::era::Era;

/// A position in the sequence of a store's changes: a revision, and the era in which it was read.
///
/// Positions of the same era are ordered by revision. Positions of different eras are not
/// comparable, because the earlier one may refer to a change that was lost.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Position(Era, u64);

impl Position {
    /// Creates the position of `revision`, read in `era`.
    #[must_use]
    pub const fn new(era: Era, revision: u64) -> Self {
        Self(era, revision)
    }

    /// Returns the era in which the position was read.
    #[must_use]
    pub const fn era(self) -> Era {
        self.0
    }

    /// Returns the revision for output only: the returned type can't be compared.
    #[must_use]
    pub const fn revision(self) -> impl fmt::Display + fmt::Debug {
        self.1
    }

    /// Returns the newer of both positions: that of the later era or, within the same era, that
    /// of the higher revision.
    #[must_use]
    pub fn newest(self, other: Self) -> Self {
        let is_newer = other.0 > self.0 || other > self;
        if is_newer { other } else { self }
    }

    /// Returns whether both may refer to the same change, possibly read in two eras: the changes
    /// before a copy keep their revisions when the store is restored from it.
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
