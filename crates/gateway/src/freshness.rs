//! How long what an entry knows of keys may be relied on.

use std::time::Duration;

use cactusnotch_base::clock::Instant;

/// Taken off the bound for clocks that run apart and for the time between a
/// request's arrival and its check.
const MARGIN: Duration = Duration::from_millis(200);

/// A lease on the knowledge of keys. Only an answer of the store renews it,
/// from the moment at which the question was sent: any change acknowledged
/// before that is in the answer.
#[derive(Debug, Clone, Copy)]
pub struct Freshness {
    bound: Option<Duration>,
    asked: Option<Instant>,
}

impl Freshness {
    /// Creates the lease of an entry that has proved nothing yet.
    #[must_use]
    pub const fn new(bound: Option<Duration>) -> Self {
        Self { bound, asked: None }
    }

    /// Takes another bound.
    pub const fn set_bound(&mut self, bound: Option<Duration>) {
        self.bound = bound;
    }

    /// Notes an answer to a question that was sent at `asked`.
    pub fn renew(&mut self, asked: Instant) {
        self.asked = self.asked.max(Some(asked));
    }

    /// Returns how old the knowledge is.
    #[must_use]
    pub fn age(&self, now: Instant) -> Option<Duration> {
        Some(now.saturating_duration_since(self.asked?))
    }

    /// Tells whether a request that is here at `now` may be judged.
    #[must_use]
    pub fn holds(&self, now: Instant) -> bool {
        match (self.bound, self.age(now)) {
            (_, None) => false,
            (None, Some(_)) => true,
            (Some(bound), Some(age)) => age + MARGIN < bound,
        }
    }
}
