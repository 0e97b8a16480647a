//! The durations of a lease.

use std::time::Duration;

use cactusnotch_derive::record;

const MILLION: u32 = 1_000_000;

/// The durations of a lease.
#[record]
pub struct Options {
    /// How long a lease lasts after its last renewal was sent.
    pub ttl: Duration,
    /// How long after a renewal was sent the next one is sent.
    pub renew: Duration,
    /// How often a process that wants to take over reads a lease that another
    /// one holds.
    pub poll: Duration,
    /// The pause after a first failed call; it doubles with each failure.
    pub retry_min: Duration,
    /// The longest pause after a failed call.
    pub retry_max: Duration,
    /// The greatest deviation of a monotonic clock's rate, in parts per
    /// million, at most a tenth of a million.
    pub drift_ppm: u32,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            ttl: Duration::from_secs(9),
            renew: Duration::from_secs(3),
            poll: Duration::from_secs(3),
            retry_min: Duration::from_millis(200),
            retry_max: Duration::from_secs(4),
            drift_ppm: 10_000,
        }
    }
}

impl Options {
    /// Returns how long a process waits before it takes over a lease of `ttl`,
    /// on its own clock and from its first observation of an unchanged version:
    /// until the lease has expired on any clock within the drift.
    #[must_use]
    pub fn takeover(&self, ttl: Duration) -> Duration {
        let drift = self.drift_ppm.min(MILLION / 10);
        ttl * (MILLION + drift) / (MILLION - drift) + Duration::from_millis(1)
    }
}
