//! What an endpoint bears beyond the rate of requests that it takes.

use std::time::Duration;

use crate::Rate;

/// What an endpoint bears beyond the rate of requests that it takes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Tolerance {
    /// How many times as many requests as the rate allows it bears in a window.
    pub factor: f64,
    /// The requests of a window that it bears beyond these.
    pub slack: f64,
    /// The span over which requests are counted, wherever it begins.
    pub window: Duration,
}

impl Tolerance {
    /// That of endpoints which name a limit.
    pub const LIMITED: Self = Self {
        factor: 1.5,
        slack: 5.0,
        window: Duration::from_secs(4),
    };

    /// Returns the most requests of a window that an endpoint of this rate bears.
    #[must_use]
    pub fn max_requests(&self, rate: Rate) -> f64 {
        self.factor * rate.per_second() * self.window.as_secs_f64() + self.slack
    }
}
