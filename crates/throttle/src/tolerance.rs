//! The excess over its rate limit that an endpoint tolerates.

use std::time::Duration;

use crate::Rate;

/// The excess over its rate limit that an endpoint tolerates.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Tolerance {
    /// The tolerated requests per window, as a multiple of what the rate allows.
    pub factor: f64,
    /// The additional number of requests tolerated per window.
    pub slack: f64,
    /// The length of the sliding window over which requests are counted.
    pub window: Duration,
}

impl Tolerance {
    /// The tolerance of endpoints that announce a limit.
    pub const LIMITED: Self = Self {
        factor: 1.5,
        slack: 5.0,
        window: Duration::from_secs(4),
    };

    /// Returns the maximum number of requests per window that an endpoint tolerates at `rate`.
    #[must_use]
    pub fn max_requests(&self, rate: Rate) -> f64 {
        self.factor * rate.per_second() * self.window.as_secs_f64() + self.slack
    }
}
