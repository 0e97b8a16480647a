//! The decision to try a request again.

use std::time::Duration;

use cactusnotch_base::Outcome;
use cactusnotch_base::clock::Instant;
use rand::Rng;

use crate::decision::Reason;
use crate::{Budget, Deadline, Decision, Options};

/// The decision to try a request again, with the budget of an entry.
#[derive(Debug, Clone)]
pub struct Retry {
    options: Options,
    budget: Budget,
}

/// A failed attempt.
#[derive(Debug, Clone, Copy)]
pub struct Failure {
    /// What is known of the attempt.
    pub outcome: Outcome,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Whether a piece of the answer has reached the caller.
    pub response_started: bool,
    /// The attempts so far, this one included.
    pub attempts: u32,
    /// When the request has to be complete.
    pub deadline: Deadline,
}

impl Retry {
    /// Creates the decision with a full budget.
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

    /// Decides whether a request whose attempt has failed is tried again, and
    /// pays for it if so.
    ///
    /// An attempt that provably did not run may be repeated whatever the
    /// request. The first repetition after such a refusal comes at once, since
    /// it goes to another endpoint.
    pub fn decide(&mut self, failure: &Failure, now: Instant, rng: &mut impl Rng) -> Decision {
        let ran = failure.outcome == Outcome::Unknown;
        if failure.response_started || (ran && !failure.idempotent) {
            return Decision::GiveUp(Reason::Unsafe);
        }
        if failure.attempts >= self.options.attempts {
            return Decision::GiveUp(Reason::Attempts);
        }
        let delay = match failure.attempts {
            0 | 1 if !ran => Duration::ZERO,
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
