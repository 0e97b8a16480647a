//! The attempts that were given up before they started.

use cactusnotch_base::Table;

use crate::{Age, Attempt};

/// The attempts that are refused for good.
///
/// An attempt is remembered until the age after which it could not start
/// anyway. When the table is full the floor rises instead: every attempt that
/// had to start by then is refused, so nothing that was promised is forgotten.
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

    /// Tells whether `attempt` was given up, or is covered by the floor.
    pub(crate) fn covers(&self, attempt: Attempt, start_by: Age) -> bool {
        self.floor.is_some_and(|floor| start_by <= floor) || self.table.contains(&attempt)
    }

    /// Gives `attempt` up.
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

    /// Forgets the attempts that could not start at `now` anyway.
    pub(crate) fn expire(&mut self, now: Age) {
        self.table.retain(|_, start_by| *start_by >= now);
    }

    pub(crate) fn len(&self) -> usize {
        self.table.len()
    }
}
