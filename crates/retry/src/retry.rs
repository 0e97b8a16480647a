//! The retry policy.

use std::time::Duration;

use cactusnotch_base::Outcome;
use cactusnotch_base::clock::Instant;
use rand::Rng;

use crate::decision::Reason;
use crate::{Budget, Deadline, Decision, Options};

/// The retry policy of an entry, with its budget.
#[derive(Debug, Clone)]
pub struct Retry {
    options: Options,
    budget: Budget,
}

/// A failed attempt.
#[derive(Debug, Clone, Copy)]
pub struct Failure {
    /// The outcome of the attempt.
    pub outcome: Outcome,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Whether a piece of the response has been sent to the caller.
    pub response_started: bool,
    /// The number of attempts so far, including this one.
    pub attempts: u32,
    /// When the request must be complete.
    pub deadline: Deadline,
}

impl Retry {
    /// Creates the policy with a full budget.
    #[must_use]
    pub const fn new(options: Options) -> Self {
        Self {
            budget: Budget::new(options.ratio, options.burst),
            options,
        }
    }

    /// Counts the first attempt of a request.
    pub const fn record_request(&mut self) {
        self.budget.deposit();
    }

    /// Decides whether a request is retried after a failed attempt, and takes a
    /// token from the budget if so.
    ///
    /// An attempt that is certain not to have run may be retried even if the
    /// request is not idempotent. The first retry after such a refusal has no
    /// delay, since it goes to another endpoint.
    pub fn decide(&mut self, failure: &Failure, now: Instant, rng: &mut impl Rng) -> Decision {
        let may_have_run = failure.outcome == Outcome::Unknown;
        if failure.response_started || (may_have_run && !failure.idempotent) {
            return Decision::GiveUp(Reason::Unsafe);
        }
        if failure.attempts >= self.options.attempts {
            return Decision::GiveUp(Reason::Attempts);
        }
        let delay = match failure.attempts {
            0 | 1 if !may_have_run => Duration::ZERO,
            attempts => self.options.backoff.delay(attempts, rng),
        };
        if failure.deadline.left(now) < delay + self.options.min_time_left {
            return Decision::GiveUp(Reason::Deadline);
        }
        if !self.budget.withdraw() {
            return Decision::GiveUp(Reason::Budget);
        }
        Decision::Again(delay)
    }

    /// Returns the budget.
    #[must_use]
    pub const fn budget(&self) -> &Budget {
        &self.budget
    }
}
