//! The waiting requests of one priority of an organisation.

use std::collections::VecDeque;
use std::time::Duration;

use cactusnotch_base::clock::Instant;

use crate::Ticket;

/// A waiting request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Waiting {
    pub(crate) ticket: Ticket,
    pub(crate) cost: f64,
    pub(crate) deadline: Instant,
    pub(crate) run: Duration,
}

impl Waiting {
    /// Returns how late the answer would be after waiting for `wait`.
    pub(crate) fn late(&self, wait: Duration, now: Instant) -> Duration {
        let left = self.deadline.saturating_duration_since(now);
        wait.saturating_add(self.run).saturating_sub(left)
    }
}

/// The waiting requests of one priority, in order of arrival.
#[derive(Debug, Clone, Default)]
pub(crate) struct Lane {
    /// The virtual time at which the next request is due.
    pub(crate) due: f64,
    pub(crate) queue: VecDeque<Waiting>,
}
