//! Tombstones of attempts that were given up before they started.

use cactusnotch_base::Table;

use crate::{Age, Attempt};

/// The attempts that are permanently refused.
///
/// An attempt is recorded until the age after which it can't start anyway.
/// When the table is full, the floor rises instead: every attempt whose latest
/// start is at or below the floor is refused, so no given-up attempt can start.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct Tombstones {
    limit: usize,
    floor: Option<Age>,
    table: Table<Attempt, Age>,
}

impl Tombstones {
    pub(crate) fn new(limit: usize) -> Self {
        Self {
            limit,
            floor: None,
            table: Table::new(),
        }
    }

    /// Returns whether `attempt` was given up, or is covered by the floor.
    pub(crate) fn covers(&self, attempt: Attempt, start_by: Age) -> bool {
        self.floor.is_some_and(|floor| start_by <= floor) || self.table.contains(&attempt)
    }

    /// Records that `attempt` was given up.
    pub(crate) fn add(&mut self, attempt: Attempt, start_by: Age, now: Age) {
        if start_by < now || self.covers(attempt, start_by) {
            return;
        }
        if self.table.len() >= self.limit {
            self.table.retain(|_, start_by| *start_by >= now);
        }
        if self.table.len() < self.limit {
            self.table.insert(attempt, start_by);
        } else {
            self.floor = self.floor.max(Some(start_by));
        }
    }

    /// Removes the attempts that can't start at `now` anyway.
    pub(crate) fn expire(&mut self, now: Age) {
        self.table.retain(|_, start_by| *start_by >= now);
    }

    pub(crate) fn len(&self) -> usize {
        self.table.len()
    }
}
