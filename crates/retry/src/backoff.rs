//! Delays between attempts.

use std::time::Duration;

use rand::Rng;

/// Delays that double with each attempt and are jittered over their whole
/// length, so that callers which failed together do not return together.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Backoff {
    /// The longest delay before the first repeated attempt.
    pub base: Duration,
    /// The longest delay before any.
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
    /// Returns the delay before repeated attempt `attempt`, the first being 1.
    pub fn delay(&self, attempt: u32, rng: &mut impl Rng) -> Duration {
        let doublings = attempt.saturating_sub(1);
        let factor = 1_u32.checked_shl(doublings).unwrap_or(u32::MAX);
        let longest = self.base.saturating_mul(factor).min(self.max);
        longest.mul_f64(rng.random())
    }
}
