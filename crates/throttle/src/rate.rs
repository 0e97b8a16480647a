//! A rate of requests.

use std::time::Duration;

use derive_more::Display;

/// Requests a second: a finite number that is not negative.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd, Display)]
#[display("{_0}/s")]
pub struct Rate(f64);

impl Rate {
    /// Returns the rate of `per_second` requests a second, or `None` for what is none: a
    /// negative, infinite or undefined number.
    #[must_use]
    pub fn new(per_second: f64) -> Option<Self> {
        (per_second.is_finite() && !per_second.is_sign_negative()).then_some(Self(per_second))
    }

    /// Returns the requests a second.
    #[must_use]
    pub const fn per_second(self) -> f64 {
        self.0
    }

    /// Returns the time between two requests, [`Duration::MAX`] if there are none.
    #[must_use]
    pub fn interval(self) -> Duration {
        Duration::try_from_secs_f64(1.0 / self.0).unwrap_or(Duration::MAX)
    }
}
