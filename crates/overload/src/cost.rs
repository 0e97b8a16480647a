//! The factor by which requests cost more than the model states.

use std::time::Duration;

use cactusnotch_base::clock::Instant;

/// The range of the factor.
const COST_MIN: f64 = 0.0;
const COST_MAX: f64 = 1.0;
/// The weight of a measurement above the factor. Passes are measured about five times a
/// second, so the factor covers three quarters of a lasting increase within a second.
const WEIGHT_UP: f64 = 0.3;
/// The weight of a measurement below the factor: about two seconds, longer than a stream
/// lasts, so that the fill follows the limit before the limit follows the fill.
const WEIGHT_DOWN: f64 = 0.1;
/// The time without a measurement after which the factor decays, and its half-life then. A
/// group of few slots may run too few requests at its lowest limit to be measured.
const VALID_FOR: Duration = Duration::from_secs(2);
const HALF_LIFE: Duration = Duration::from_secs(2);

/// The moving mean of the factor by which requests cost more than the model states.
///
/// It moves only as far as two successive measurements agree: a pass of prompts alone, or
/// a pass that covers a shift of demand or the switch of the map, lengthens only one.
#[derive(Debug)]
pub(crate) struct Cost {
    factor: f64,
    previous: f64,
    /// When the factor was last measured or decayed.
    updated_at: Option<Instant>,
    measured_at: Option<Instant>,
}

impl Default for Cost {
    fn default() -> Self {
        Self {
            factor: COST_MIN,
            previous: COST_MIN,
            updated_at: None,
            measured_at: None,
        }
    }
}

impl Cost {
    pub(crate) const fn factor(&self) -> f64 {
        self.factor
    }

    /// Records a measured factor.
    pub(crate) fn record(&mut self, measured: f64, now: Instant) {
        if !measured.is_finite() {
            return;
        }
        let measured = measured.clamp(COST_MIN, COST_MAX);
        let previous = std::mem::replace(&mut self.previous, measured);
        let (low, high) = (measured.min(previous), measured.max(previous));
        if low > self.factor {
            self.factor += WEIGHT_UP * (low - self.factor);
        } else if high < self.factor {
            self.factor += WEIGHT_DOWN * (high - self.factor);
        }
        (self.updated_at, self.measured_at) = (Some(now), Some(now));
    }

    /// Lets the factor decay towards that of the model if it was not measured recently.
    pub(crate) fn decay(&mut self, now: Instant) {
        let recent = |at| now.saturating_duration_since(at) < VALID_FOR;
        if self.measured_at.is_none_or(recent) {
            return;
        }
        let age = self
            .updated_at
            .replace(now)
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let part = 0.5_f64.powf(age.as_secs_f64() / HALF_LIFE.as_secs_f64());
        self.factor = COST_MIN + (self.factor - COST_MIN) * part;
        self.previous = COST_MIN;
    }
}
