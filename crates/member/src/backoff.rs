//! Back-off between failed calls.

use std::time::Duration;

use cactusnotch_base::clock::Instant;
use rand::Rng;

/// The number of doublings after which the pause no longer grows; it bounds the
/// shift.
const DOUBLINGS: u32 = 16;

/// Exponential back-off with jitter.
#[derive(Debug, Clone)]
pub struct Backoff {
    min: Duration,
    max: Duration,
    failures: u32,
    until: Option<Instant>,
}

impl Backoff {
    /// Creates a back-off with pauses from `min` to `max`.
    #[must_use]
    pub const fn new(min: Duration, max: Duration) -> Self {
        Self {
            min,
            max,
            failures: 0,
            until: None,
        }
    }

    /// Returns whether a call may be made at `now`.
    #[must_use]
    pub fn ready(&self, now: Instant) -> bool {
        self.until.is_none_or(|until| now >= until)
    }

    /// Returns how many calls have failed since the last success.
    #[must_use]
    pub const fn failures(&self) -> u32 {
        self.failures
    }

    /// Records a success; the next call may be made at once.
    pub const fn succeed(&mut self) {
        self.failures = 0;
        self.until = None;
    }

    /// Records a failure at `now` and draws the pause between half of the ceiling
    /// and the ceiling. The jitter spreads the calls of many processes.
    pub fn fail<R: Rng>(&mut self, now: Instant, rng: &mut R) {
        let doublings = self.failures.min(DOUBLINGS);
        let ceiling = self.min.saturating_mul(1 << doublings).min(self.max);
        self.failures += 1;
        self.until = Some(now + ceiling.mul_f64(rng.random_range(0.5..1.0)));
    }

    /// Delays the next call by a random time of up to `spread`, for example at a
    /// start.
    pub fn delay<R: Rng>(&mut self, now: Instant, spread: Duration, rng: &mut R) {
        self.until = Some(now + spread.mul_f64(rng.random()));
    }
}
