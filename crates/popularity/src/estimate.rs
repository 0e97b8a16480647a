//! The estimated rate of an expert.

use cactusnotch_base::number::Step;
use cactusnotch_derive::message;

/// The estimated rate of an expert, in tokens per step, on two time scales.
#[message]
#[derive(Copy)]
pub struct Estimate {
    /// The rate over the last seconds.
    pub fast: f64,
    /// The standard deviation of `fast`.
    pub fast_deviation: f64,
    /// The rate to which the fast one is heading if it is in a burst.
    pub ahead: f64,
    /// The rate over the last minutes.
    pub slow: f64,
    /// The standard deviation of `slow`.
    pub slow_deviation: f64,
    /// The step at which the fast rate was found to have left the slow one, as
    /// long as it stays away.
    pub burst: Option<Step>,
}

impl Estimate {
    /// Returns the rate to expect in the next steps: that to which the fast one
    /// is heading in a burst, otherwise the mean of both weighed by their precision. The slow rate
    /// counts less the farther the fast one stands from it beyond its noise,
    /// since it lags behind a drift.
    #[must_use]
    pub fn rate(&self) -> f64 {
        if self.burst.is_some() {
            return self.ahead;
        }
        let fast = self.fast_deviation.powi(-2);
        let slow = (self.slow_deviation.powi(2) + self.lag()).recip();
        let sum = fast + slow;
        if sum.is_finite() && sum > 0.0 {
            (self.fast * fast + self.slow * slow) / sum
        } else {
            self.slow
        }
    }

    /// Returns the square of the distance of both rates that noise does not
    /// explain.
    fn lag(&self) -> f64 {
        let distance = (self.fast - self.slow).powi(2);
        (distance - self.fast_deviation.powi(2)).max(0.0)
    }

    /// Returns the standard deviation of [`Estimate::rate`].
    #[must_use]
    pub fn deviation(&self) -> f64 {
        if self.burst.is_some() {
            self.fast_deviation
        } else {
            self.fast_deviation.min(self.slow_deviation)
        }
    }

    /// Returns how many steps before `now` the burst was found, or `None` if
    /// there is none.
    #[must_use]
    pub fn age(&self, now: Step) -> Option<u64> {
        self.burst.map(|start| now.0.saturating_sub(start.0))
    }
}
