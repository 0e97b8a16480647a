//! How measurements lose their weight.

use std::time::Duration;

use cactusnotch_base::clock::Instant;

/// A moment in time, and in the sequence of a router's samples.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Moment {
    pub(crate) time: Instant,
    /// How many samples the router has taken, of all services: an endpoint may offer several.
    pub(crate) samples: u32,
}

/// How fast measurements lose their weight: with time, and with the samples of other endpoints.
///
/// An endpoint that seems slow gets no requests, so that nothing refreshes its measurement. By
/// the time alone, an entry with many requests would send nearly all of them elsewhere because
/// of one slow answer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Decay {
    pub(crate) half_life: Duration,
    /// The number of samples after which half of the weight is left.
    pub(crate) half_samples: f64,
}

impl Decay {
    /// Returns the weight at `now` of a sample that was taken at `at`: one when new, decaying to
    /// zero.
    pub(crate) fn weight(self, at: Moment, now: Moment) -> f64 {
        let age = now.time.saturating_duration_since(at.time);
        let by_time = (-age.div_duration_f64(self.half_life)).exp2();
        by_time * self.weight_by_samples(at, now)
    }

    /// Returns the same regardless of the time.
    pub(crate) fn weight_by_samples(self, at: Moment, now: Moment) -> f64 {
        let samples = now.samples.wrapping_sub(at.samples);
        (-f64::from(samples) / self.half_samples).exp2()
    }
}
