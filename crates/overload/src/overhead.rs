//! The overhead of passes beyond the model.

use std::time::Duration;

use cactusnotch_base::clock::Instant;

/// The weight of a measurement above the mean. Passes are measured about five times a
/// second, so the mean covers three quarters of a lasting increase within a second.
const WEIGHT_UP: f64 = 0.3;
/// The weight of a measurement below the mean: about two seconds, longer than a stream
/// lasts, so that the fill follows the limit before the limit follows the fill.
const WEIGHT_DOWN: f64 = 0.1;
/// The time without a measurement after which the mean decays, and its half-life then. A
/// group of few slots may run too few requests at its lowest limit to be measured.
const VALID_FOR: Duration = Duration::from_secs(2);
const HALF_LIFE: Duration = Duration::from_secs(2);

/// The moving mean of the overhead of passes beyond the model, in seconds for the square
/// root of the number of requests.
///
/// It moves only as far as two successive measurements agree: a pass of prompts alone, or
/// a pass that covers a shift of demand or the switch of the map, lengthens only one.
#[derive(Debug, Default)]
pub(crate) struct Overhead {
    mean: f64,
    previous: f64,
    /// When the mean was last measured or decayed.
    updated_at: Option<Instant>,
    measured_at: Option<Instant>,
}

impl Overhead {
    /// Returns the mean in seconds.
    pub(crate) const fn seconds(&self) -> f64 {
        self.mean
    }

    /// Records a measured overhead in seconds; one below zero counts as none, and one above
    /// `most` as that.
    pub(crate) fn record(&mut self, measured: f64, most: f64, now: Instant) {
        if !measured.is_finite() {
            return;
        }
        let measured = measured.min(most).max(0.0);
        let previous = std::mem::replace(&mut self.previous, measured);
        let (low, high) = (measured.min(previous), measured.max(previous));
        if low > self.mean {
            self.mean += WEIGHT_UP * (low - self.mean);
        } else if high < self.mean {
            self.mean += WEIGHT_DOWN * (high - self.mean);
        }
        (self.updated_at, self.measured_at) = (Some(now), Some(now));
    }

    /// Lets the mean decay towards zero if it was not measured recently.
    pub(crate) fn decay(&mut self, now: Instant) {
        let recent = |at| now.saturating_duration_since(at) < VALID_FOR;
        if self.measured_at.is_none_or(recent) {
            return;
        }
        let age = self
            .updated_at
            .replace(now)
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.mean *= 0.5_f64.powf(age.as_secs_f64() / HALF_LIFE.as_secs_f64());
        self.previous = 0.0;
    }
}
