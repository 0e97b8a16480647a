//! The waiting requests of one organisation and priority.

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
    /// Returns by how much the response would miss its deadline after waiting for `wait`.
    pub(crate) fn lateness(&self, wait: Duration, now: Instant) -> Duration {
        let left = self.deadline.saturating_duration_since(now);
        wait.saturating_add(self.run).saturating_sub(left)
    }
}

/// The waiting requests of one organisation and priority, in order of arrival.
#[derive(Debug, Clone, Default)]
pub(crate) struct Lane {
    /// The virtual time at which the next request is due.
    pub(crate) due: f64,
    pub(crate) queue: VecDeque<Waiting>,
}
