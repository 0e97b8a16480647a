//! The roster with its latest changes.

use cactusnotch_member::{Delta, Roster};
use cactusnotch_platform::object::Version;

use crate::tail::{Piece, Tail};

/// The bytes that a record takes on the wire, roughly.
const ROW: usize = 200;

/// The bytes that a name takes on the wire, roughly.
const NAME: usize = 24;

impl Piece for Delta {
    fn after(&self) -> u64 {
        self.after.0
    }

    fn through(&self) -> u64 {
        self.through.0
    }

    fn cost(&self) -> usize {
        NAME + ROW * self.rows.len() + NAME * self.removed.len()
    }
}

/// The roster with its latest changes.
#[derive(Debug)]
pub(crate) struct Journal {
    roster: Roster,
    tail: Tail<Delta>,
}

impl Journal {
    pub(crate) fn new(kept: usize) -> Self {
        Self {
            roster: Roster::default(),
            tail: Tail::new(kept),
        }
    }

    pub(crate) const fn roster(&self) -> &Roster {
        &self.roster
    }

    /// Notes that nothing changed up to `version`.
    pub(crate) fn confirm(&mut self, version: Version) {
        self.roster.confirm(version);
    }

    /// Takes in a change and tells whether the roster moved on.
    pub(crate) fn take(&mut self, delta: Delta) -> bool {
        let moved = self.roster.apply(&delta);
        if moved {
            self.tail.push(delta);
        }
        moved
    }

    /// Returns the changes that take a holder of `version` on; the whole
    /// roster if they are no longer all kept.
    pub(crate) fn since(&self, version: Version) -> Vec<Delta> {
        if version >= self.roster.through() {
            return Vec::new();
        }
        let kept = self.tail.since(version.0).filter(|kept| !kept.is_empty());
        kept.map_or_else(|| vec![self.roster.snapshot()], <[Delta]>::to_vec)
    }
}
