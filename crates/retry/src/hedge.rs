//! Hedging: a second, concurrent attempt for a slow request.

use std::time::Duration;

use cactusnotch_base::clock::Instant;

use crate::{Budget, Deadline, Options};

/// Decides whether a slow request gets a second, concurrent attempt on another
/// endpoint, within a budget of its own. The first response is used and the other
/// attempt is cancelled.
#[derive(Debug, Clone)]
pub struct Hedge {
    min_time_left: Duration,
    budget: Budget,
}

/// A request without any response piece so far.
#[derive(Debug, Clone, Copy)]
pub struct Pending {
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Whether the request has already been hedged.
    pub hedged: bool,
    /// When its attempt started.
    pub started: Instant,
    /// The time to the first token that few attempts exceed, such as the measured
    /// 95th percentile.
    pub latency_bound: Duration,
    /// When the request must be complete.
    pub deadline: Deadline,
}

impl Hedge {
    /// Creates the policy with a full budget.
    #[must_use]
    pub const fn new(options: &Options) -> Self {
        Self {
            min_time_left: options.min_time_left,
            budget: Budget::new(options.hedge_ratio, options.hedge_burst),
        }
    }

    /// Counts the first attempt of a request.
    pub const fn record_request(&mut self) {
        self.budget.deposit();
    }

    /// Decides whether a request gets a second attempt now, and takes a token from
    /// the budget if so. The answer is `false` before `latency_bound` has passed;
    /// call this again after that.
    pub fn decide(&mut self, pending: &Pending, now: Instant) -> bool {
        let waited = now.saturating_duration_since(pending.started);
        pending.idempotent
            && !pending.hedged
            && waited >= pending.latency_bound
            && pending.deadline.left(now) >= pending.latency_bound.max(self.min_time_left)
            && self.budget.withdraw()
    }
}
