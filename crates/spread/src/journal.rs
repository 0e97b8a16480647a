//! The roster with its most recent changes.

use cactusnotch_base::Table;
use cactusnotch_base::name::Process;
use cactusnotch_member::{Delta, Roster, Row};
use cactusnotch_objects::object::Version;

use crate::tail::{self, Piece, Tail};

/// The approximate size of a record on the wire, in bytes.
const ROW: usize = 200;

/// The approximate size of a name on the wire, in bytes.
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

/// The roster with its most recent changes.
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

    /// Records that nothing changed up to `version`.
    pub(crate) fn confirm(&mut self, version: Version) {
        self.roster.confirm(version);
    }

    /// Applies a change and returns whether the roster advanced.
    pub(crate) fn apply(&mut self, delta: Delta) -> bool {
        let moved = self.roster.apply(&delta);
        if moved {
            self.tail.push(delta);
        }
        moved
    }

    /// Returns an approximate upper bound of the size of [`Journal::since`] on the
    /// wire, in bytes.
    pub(crate) fn cost_since(&self, version: Version) -> usize {
        let kept = self.tail.since(version.0).filter(|kept| !kept.is_empty());
        kept.map_or_else(|| NAME + ROW * self.roster.len(), tail::cost)
    }

    /// Returns the changes after `version` as one, or the whole roster if not all
    /// of them are retained; `None` if there are none.
    pub(crate) fn since(&self, version: Version) -> Option<Delta> {
        if version >= self.roster.through() {
            return None;
        }
        let kept = self.tail.since(version.0).filter(|kept| !kept.is_empty());
        Some(kept.map_or_else(|| self.roster.snapshot(), merged))
    }
}

/// Merges consecutive changes into one.
fn merged(deltas: &[Delta]) -> Delta {
    let mut rows: Table<&Process, Option<&Row>> = Table::new();
    for delta in deltas {
        if delta.after == Version(0) {
            rows = Table::new();
        }
        for process in &delta.removed {
            rows.insert(process, None);
        }
        for row in &delta.rows {
            rows.insert(&row.record.process, Some(row));
        }
    }
    let whole = deltas.iter().any(|delta| delta.after == Version(0));
    let first = deltas.first().map_or(Version(0), |delta| delta.after);
    let gone = rows.iter().filter(|(_, row)| row.is_none());
    Delta {
        after: if whole { Version(0) } else { first },
        through: deltas.last().map_or(first, |delta| delta.through),
        removed: gone.map(|(process, _)| (*process).clone()).collect(),
        rows: rows.values().filter_map(|row| row.cloned()).collect(),
    }
}
