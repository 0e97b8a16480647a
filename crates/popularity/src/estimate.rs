//! The estimated rate of an expert.

use cactusnotch_base::number::Step;
use cactusnotch_derive::message;

/// The estimated rate of an expert in tokens per step, on two time scales.
#[message]
#[derive(Copy)]
pub struct Estimate {
    /// The rate over the last few seconds.
    pub fast: f64,
    /// The standard deviation of `fast`.
    pub fast_deviation: f64,
    /// The extrapolated rate during a burst.
    pub ahead: f64,
    /// The rate over the last few minutes.
    pub slow: f64,
    /// The standard deviation of `slow`.
    pub slow_deviation: f64,
    /// The step at which the present burst was detected: the fast rate differs
    /// from the slow one by more than noise.
    pub burst: Option<Step>,
}

impl Estimate {
    /// Returns the rate to expect in the next steps: the extrapolated rate during
    /// a burst, otherwise the mean of both rates weighted by their precision.
    ///
    /// The weight of the slow rate falls with its distance from the fast one
    /// beyond the noise of the latter, because it lags behind a drift.
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

    /// Returns the squared difference of both rates in excess of the variance of
    /// the fast one.
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

    /// Returns how many steps before `now` the burst was detected, or `None` if
    /// there is none.
    #[must_use]
    pub fn age(&self, now: Step) -> Option<u64> {
        self.burst.map(|start| now.0.saturating_sub(start.0))
    }
}
