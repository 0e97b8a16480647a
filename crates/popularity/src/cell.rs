//! What is kept of each expert.

use cactusnotch_base::number::Step;

use crate::decay::Sum;
use crate::estimate::Estimate;
use crate::options::Options;

/// How fast the dispersion follows new residuals, for each report.
const DISPERSION_GAIN: f64 = 0.02;
/// The most that one residual counts, so that a burst does not pass for noise.
const RESIDUAL_LIMIT: f64 = 9.0;

/// How many standard deviations the quick rate must stand away from the fast
/// one to show a trend.
const TREND_THRESHOLD: f64 = 2.0;
/// The distance of the quick rate from the fast one, as a part of it, from
/// which on the rate is taken to have jumped.
const JUMP: f64 = 0.3;
/// How far beyond both rates a trend is followed, as a part of them.
const TREND_LIMIT: f64 = 0.3;

/// The sums and the noise of one expert.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Row {
    pub(crate) quick: Sum,
    pub(crate) fast: Sum,
    pub(crate) slow: Sum,
    /// The variance of counts over that of a Poisson process.
    dispersion: f64,
    pub(crate) burst: Option<Step>,
}

impl Default for Row {
    fn default() -> Self {
        Self {
            quick: Sum::default(),
            fast: Sum::default(),
            slow: Sum::default(),
            dispersion: 1.0,
            burst: None,
        }
    }
}

impl Row {
    /// Learns the noise of counts from one count, before it is added.
    pub(crate) fn learn(&mut self, tokens: f64, exposure: f64) {
        let Some(rate) = self.fast.rate() else {
            return;
        };
        let expected = rate * exposure;
        let residual = (tokens - expected).powi(2) / expected.max(1.0);
        let residual = residual.min(RESIDUAL_LIMIT * self.dispersion);
        self.dispersion += DISPERSION_GAIN * (residual - self.dispersion);
        self.dispersion = self.dispersion.max(1.0);
    }

    /// Returns the estimate at a step where the fast and the slow sums weigh as
    /// given.
    pub(crate) fn estimate(&self, fast: f64, slow: f64, options: &Options) -> Option<Estimate> {
        let (fast_rate, slow_rate) = (self.fast.rate()?, self.slow.rate()?);
        let floor = options.floor;
        let fast_deviation = self.deviation(fast_rate, self.fast.steps(fast), floor);
        Some(Estimate {
            fast: fast_rate,
            fast_deviation,
            ahead: self.ahead(fast_rate, fast_deviation, options),
            slow: slow_rate,
            slow_deviation: self.deviation(slow_rate, self.slow.steps(slow), floor),
            burst: self.burst,
        })
    }

    /// Returns where the fast rate is heading if the quick one stands away from
    /// it by more than noise. Each lags behind a steady rise by its span; after
    /// a jump there is no rise to follow and the quick rate is the best.
    fn ahead(&self, fast: f64, deviation: f64, options: &Options) -> f64 {
        let quick = self.quick.rate().unwrap_or(fast);
        let rise = quick - fast;
        if rise.abs() < TREND_THRESHOLD * deviation {
            return fast;
        }
        if rise.abs() > JUMP * fast {
            return quick;
        }
        let slope = rise / (options.fast - options.quick);
        let ahead = fast + slope * (options.fast + options.lead);
        let low = (1.0 - TREND_LIMIT) * quick.min(fast);
        let high = (1.0 + TREND_LIMIT) * quick.max(fast);
        ahead.clamp(low, high)
    }

    fn deviation(&self, rate: f64, steps: f64, floor: f64) -> f64 {
        let steps = steps.max(f64::MIN_POSITIVE);
        let counted = (self.dispersion * rate.max(1.0 / steps) / steps).sqrt();
        counted.hypot(floor * rate)
    }

    /// Begins or ends a burst. `least` is the rate below which the expert is
    /// too cold for a change to matter.
    pub(crate) fn judge(&mut self, estimate: &Estimate, least: f64, options: &Options, now: Step) {
        let away = (estimate.fast - estimate.slow).abs();
        let noise = estimate.fast_deviation.hypot(estimate.slow_deviation);
        let base = estimate.slow.max(least);
        let part = if self.burst.is_some() { 0.5 } else { 1.0 };
        let far = away > part * options.threshold * noise && away > part * options.contrast * base;
        self.burst = far.then_some(self.burst.unwrap_or(now));
    }
}
