//! A request rate.

use std::time::Duration;

use derive_more::Display;

/// A request rate in requests per second: a finite, non-negative number.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd, Display)]
#[display("{_0}/s")]
pub struct Rate(f64);

impl Rate {
    /// Creates a rate of `per_second` requests per second, or returns `None` if the number is
    /// negative, infinite or NaN.
    #[must_use]
    pub fn new(per_second: f64) -> Option<Self> {
        (per_second.is_finite() && !per_second.is_sign_negative()).then_some(Self(per_second))
    }

    /// Returns the requests per second.
    #[must_use]
    pub const fn per_second(self) -> f64 {
        self.0
    }

    /// Returns the time between two requests, or [`Duration::MAX`] for a rate of zero.
    #[must_use]
    pub fn interval(self) -> Duration {
        Duration::try_from_secs_f64(1.0 / self.0).unwrap_or(Duration::MAX)
    }
}
