//! Time and size limits for claims.

use std::time::Duration;

/// Time and size limits for claims.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Options {
    /// How long a key is retained after its first claim. It must not exceed
    /// the time for which agents retain their runs.
    pub lifetime: Duration,
    /// The maximum difference between the wall clocks of two entries.
    pub skew: Duration,
    /// How long claims are collected into one batch.
    pub window: Duration,
    /// The maximum number of claims in a batch.
    pub batch: usize,
    /// The maximum number of claims that wait for a batch.
    pub queue: usize,
    /// How long a claim waits for the platform before it is refused.
    pub time_budget: Duration,
    /// The delay before the first retry of a failed call.
    pub backoff: Duration,
    /// The maximum delay before a retry of a failed call.
    pub backoff_limit: Duration,
}

impl Options {
    /// Returns how long a recorded claim is retained: the lifetime of its key
    /// plus twice the clock skew.
    #[must_use]
    pub fn retention(&self) -> Duration {
        self.lifetime + 2 * self.skew
    }

    /// Returns how long a batch is retained: until every entry has expired its
    /// claims.
    #[must_use]
    pub fn batch_retention(&self) -> Duration {
        self.retention() + self.retention() / 8
    }

    /// Returns how long an observed end of the log remains valid. This is well
    /// below the time after which a batch appended in the meantime can be
    /// deleted.
    #[must_use]
    pub fn log_validity(&self) -> Duration {
        self.lifetime / 2
    }
}

impl Default for Options {
    fn default() -> Self {
        Self {
            lifetime: Duration::from_mins(15),
            skew: Duration::from_secs(30),
            window: Duration::from_millis(25),
            batch: 1000,
            queue: 20_000,
            time_budget: Duration::from_secs(2),
            backoff: Duration::from_millis(50),
            backoff_limit: Duration::from_secs(2),
        }
    }
}
