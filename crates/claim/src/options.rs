//! The times and counts of claims.

use std::time::Duration;

/// The times and counts of claims.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Options {
    /// How long a key is remembered after it was first claimed; not longer
    /// than agents remember their runs.
    pub lifetime: Duration,
    /// By how much the wall clocks of entries may differ.
    pub skew: Duration,
    /// How long claims are gathered into one batch.
    pub window: Duration,
    /// How many claims one batch holds at most.
    pub batch: usize,
    /// How many claims wait for a batch at most.
    pub queue: usize,
    /// How long a claim waits for the platform before it is refused.
    pub time_budget: Duration,
    /// How long to wait before a failed call is made again, at first.
    pub backoff: Duration,
    /// How long to wait before a failed call is made again, at most.
    pub backoff_limit: Duration,
}

impl Options {
    /// Returns how long a recorded claim is kept: its key's lifetime, and
    /// what the clocks of two entries may differ by.
    #[must_use]
    pub fn retention(&self) -> Duration {
        self.lifetime + 2 * self.skew
    }

    /// Returns how long a batch is kept: until every entry has forgotten its
    /// claims.
    #[must_use]
    pub fn kept(&self) -> Duration {
        self.retention() + self.retention() / 8
    }

    /// Returns how long what was seen of the end of a log is relied on: well
    /// before a batch that was appended meanwhile can have been deleted.
    #[must_use]
    pub fn reliance(&self) -> Duration {
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
