//! A smoothed measurement that is forgotten with time.

use std::time::Duration;

use cactusnotch_base::clock::Instant;

/// The weight of a new sample.
const GAIN: f64 = 0.2;

/// An exponentially weighted mean that remembers when it was last fed.
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

    /// Returns the mean, if there was a sample.
    pub(crate) fn get(&self) -> Option<f64> {
        self.state.map(|(mean, _)| mean)
    }

    /// Returns the mean, drawn to `rest` as its last sample ages.
    pub(crate) fn get_towards(&self, rest: f64, half_life: Duration, now: Instant) -> f64 {
        match self.state {
            Some((mean, at)) => rest + (mean - rest) * freshness(at, half_life, now),
            None => rest,
        }
    }
}

/// Returns the weight, from one to zero, of what was learnt at `at`.
fn freshness(at: Instant, half_life: Duration, now: Instant) -> f64 {
    let age = now.saturating_duration_since(at);
    (-age.as_secs_f64() / half_life.as_secs_f64()).exp2()
}
