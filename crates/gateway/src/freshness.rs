//! How long an entry may rely on its cached API keys.

use std::time::Duration;

use cactusnotch_base::clock::Instant;

/// Deducted from the bound, for clock drift and for the time between a
/// request's arrival and its check.
const MARGIN: Duration = Duration::from_millis(200);

/// A lease on the cached API keys. Only an answer of the store renews it, from
/// the send time of the call: the answer includes any change that was
/// acknowledged before.
#[derive(Debug, Clone, Copy)]
pub struct Freshness {
    bound: Option<Duration>,
    sent_at: Option<Instant>,
}

impl Freshness {
    /// Creates the lease of an entry that has received no confirmation yet.
    #[must_use]
    pub const fn new(bound: Option<Duration>) -> Self {
        Self {
            bound,
            sent_at: None,
        }
    }

    /// Replaces the bound.
    pub const fn set_bound(&mut self, bound: Option<Duration>) {
        self.bound = bound;
    }

    /// Renews the lease with an answer to a call that was sent at `sent_at`.
    pub fn renew(&mut self, sent_at: Instant) {
        self.sent_at = self.sent_at.max(Some(sent_at));
    }

    /// Returns the time since the send time of the last confirmed call.
    #[must_use]
    pub fn age(&self, now: Instant) -> Option<Duration> {
        Some(now.saturating_duration_since(self.sent_at?))
    }

    /// Returns whether the keys may be used to check a request at `now`.
    #[must_use]
    pub fn holds(&self, now: Instant) -> bool {
        match (self.bound, self.age(now)) {
            (_, None) => false,
            (None, Some(_)) => true,
            (Some(bound), Some(age)) => age + MARGIN < bound,
        }
    }
}
