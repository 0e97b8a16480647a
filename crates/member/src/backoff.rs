//! Pauses between failed calls.

use std::time::Duration;

use cactusnotch_base::clock::Instant;
use rand::Rng;

/// Doublings after which the pause is at its longest in any setting.
const DOUBLINGS: u32 = 16;

/// Pauses that double with each failure, with jitter.
#[derive(Debug, Clone)]
pub struct Backoff {
    min: Duration,
    max: Duration,
    failures: u32,
    until: Option<Instant>,
}

impl Backoff {
    /// Creates pauses from `min` to `max`.
    #[must_use]
    pub const fn new(min: Duration, max: Duration) -> Self {
        Self {
            min,
            max,
            failures: 0,
            until: None,
        }
    }

    /// Tells whether a call may be made at `now`.
    #[must_use]
    pub fn ready(&self, now: Instant) -> bool {
        self.until.is_none_or(|until| now >= until)
    }

    /// Returns how many calls have failed since the last success.
    #[must_use]
    pub const fn failures(&self) -> u32 {
        self.failures
    }

    /// Notes a success: the next call may be made at once.
    pub const fn succeed(&mut self) {
        self.failures = 0;
        self.until = None;
    }

    /// Notes a failure at `now` and draws the pause: between half of the
    /// ceiling and the ceiling, so that many callers do not meet.
    pub fn fail<R: Rng>(&mut self, now: Instant, rng: &mut R) {
        let doublings = self.failures.min(DOUBLINGS);
        let ceiling = self.min.saturating_mul(1 << doublings).min(self.max);
        self.failures += 1;
        self.until = Some(now + ceiling.mul_f64(rng.random_range(0.5..1.0)));
    }

    /// Holds the next call back by up to `spread`, as at a start.
    pub fn delay<R: Rng>(&mut self, now: Instant, spread: Duration, rng: &mut R) {
        self.until = Some(now + spread.mul_f64(rng.random()));
    }
}
