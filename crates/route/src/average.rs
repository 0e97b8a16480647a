//! A smoothed measurement whose weight decays with time.

use std::time::Duration;

use cactusnotch_base::clock::Instant;

/// The weight of a new sample.
const GAIN: f64 = 0.2;

/// An exponentially weighted moving average with the time of its last sample.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct Average {
    state: Option<(f64, Instant)>,
}

impl Average {
    /// Adds a sample.
    pub(crate) fn add(&mut self, sample: f64, now: Instant) {
        let mean = match self.state {
            Some((mean, _)) => mean + GAIN * (sample - mean),
            None => sample,
        };
        self.state = Some((mean, now));
    }

    /// Returns the mean, or `None` before the first sample.
    pub(crate) fn get(&self) -> Option<f64> {
        self.state.map(|(mean, _)| mean)
    }

    /// Returns the mean, which decays towards `default` as its last sample ages.
    pub(crate) fn decayed(&self, default: f64, half_life: Duration, now: Instant) -> f64 {
        match self.state {
            Some((mean, at)) => default + (mean - default) * weight(at, half_life, now),
            None => default,
        }
    }
}

/// Returns the weight of a sample taken at `at`: one when new, decaying to zero.
fn weight(at: Instant, half_life: Duration, now: Instant) -> f64 {
    let age = now.saturating_duration_since(at);
    (-age.as_secs_f64() / half_life.as_secs_f64()).exp2()
}
