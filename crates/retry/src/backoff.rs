//! Exponential back-off between attempts.

use std::time::Duration;

use rand::Rng;

/// Exponential back-off with full jitter, which spreads the retries of requests
/// that failed at the same time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Backoff {
    /// The maximum delay before the first retry.
    pub base: Duration,
    /// The maximum delay before any retry.
    pub max: Duration,
}

impl Default for Backoff {
    fn default() -> Self {
        Self {
            base: Duration::from_millis(20),
            max: Duration::from_secs(1),
        }
    }
}

impl Backoff {
    /// Returns the delay before retry number `attempt`, starting at 1.
    pub fn delay(&self, attempt: u32, rng: &mut impl Rng) -> Duration {
        let doublings = attempt.saturating_sub(1);
        let factor = 1_u32.checked_shl(doublings).unwrap_or(u32::MAX);
        let longest = self.base.saturating_mul(factor).min(self.max);
        longest.mul_f64(rng.random())
    }
}
