//! A smoothed measurement whose weight decays.

use crate::decay::{Decay, Moment};

/// The weight of a new sample.
const GAIN: f64 = 0.2;

/// An exponentially weighted moving average with the moment of its last sample.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct Average {
    state: Option<(f64, Moment)>,
}

impl Average {
    /// Adds a sample. The earlier ones count by what is left of their weight, so that what has
    /// decayed does not return with a new sample.
    pub(crate) fn add(&mut self, sample: f64, decay: Decay, now: Moment) {
        let mean = match self.state {
            Some((mean, at)) => {
                let former = (1.0 - GAIN) * decay.weight(at, now);
                sample + former * (mean - sample)
            }
            None => sample,
        };
        self.state = Some((mean, now));
    }

    /// Returns the mean, or `None` before the first sample.
    pub(crate) fn get(&self) -> Option<f64> {
        self.state.map(|(mean, _)| mean)
    }

    /// Returns the mean, which decays towards `default` from its last sample on.
    pub(crate) fn decayed(&self, default: f64, decay: Decay, now: Moment) -> f64 {
        match self.state {
            Some((mean, at)) => default + (mean - default) * decay.weight(at, now),
            None => default,
        }
    }

    /// Returns the weight that the samples of other endpoints have left of the last sample; one
    /// before the first.
    pub(crate) fn freshness(&self, decay: Decay, now: Moment) -> f64 {
        self.state
            .map_or(1.0, |(_, at)| decay.weight_by_samples(at, now))
    }
}
