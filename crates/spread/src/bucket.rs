//! A rate limit in bytes per second.

use cactusnotch_base::clock::Instant;

/// A token bucket. One large item may make the level negative; nothing more is
/// sent until it is positive again.
#[derive(Debug)]
pub(crate) struct Bucket {
    rate: f64,
    burst: f64,
    level: f64,
    at: Instant,
}

impl Bucket {
    pub(crate) fn new(rate: u32, burst: u32, now: Instant) -> Self {
        let burst = f64::from(burst);
        Self {
            rate: f64::from(rate),
            burst,
            level: burst,
            at: now,
        }
    }

    /// Returns whether `bytes` may be sent at `now`, and deducts them if so.
    pub(crate) fn take(&mut self, bytes: usize, now: Instant) -> bool {
        let elapsed = now.saturating_duration_since(self.at).as_secs_f64();
        self.at = self.at.max(now);
        self.level = (self.level + elapsed * self.rate).min(self.burst);
        if self.level <= 0.0 {
            return false;
        }
        self.level -= f64::from(u32::try_from(bytes).unwrap_or(u32::MAX));
        true
    }
}
