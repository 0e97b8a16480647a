//! The decision to try a slow request at a second endpoint meanwhile.

use std::time::Duration;

use cactusnotch_base::clock::Instant;

use crate::{Budget, Deadline, Options};

/// The decision to try a slow request at a second endpoint meanwhile, with a
/// budget of its own. The first answer counts and the other attempt is
/// cancelled.
#[derive(Debug, Clone)]
pub struct Hedge {
    min_time_left: Duration,
    budget: Budget,
}

/// A request that has no piece of an answer yet.
#[derive(Debug, Clone, Copy)]
pub struct Pending {
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Whether it has been hedged already.
    pub hedged: bool,
    /// When its attempt started.
    pub started: Instant,
    /// The first-token time that few attempts exceed, such as the 95th
    /// percentile of those measured.
    pub latency_bound: Duration,
    /// When the request has to be complete.
    pub deadline: Deadline,
}

impl Hedge {
    /// Creates the decision with a full budget.
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

    /// Decides whether a request gets a second attempt now, and pays for it if
    /// so. Ask again when its usual first-token time has passed.
    pub fn decide(&mut self, pending: &Pending, now: Instant) -> bool {
        let waited = now.saturating_duration_since(pending.started);
        pending.idempotent
            && !pending.hedged
            && waited >= pending.latency_bound
            && pending.deadline.left(now) >= pending.latency_bound.max(self.min_time_left)
            && self.budget.withdraw()
    }
}
