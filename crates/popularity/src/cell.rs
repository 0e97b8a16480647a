//! The statistics of one expert.

use cactusnotch_base::number::Step;

use crate::decay::Sum;
use crate::estimate::Estimate;
use crate::options::Options;

/// The smoothing factor of the dispersion, applied per report.
const DISPERSION_GAIN: f64 = 0.02;
/// The limit on one residual, as a multiple of the dispersion. It keeps a burst
/// from being counted as noise.
const RESIDUAL_LIMIT: f64 = 9.0;

/// The number of standard deviations by which the quick rate must differ from
/// the fast one for a trend to be assumed.
const TREND_THRESHOLD: f64 = 2.0;
/// The difference between the quick and the fast rate, relative to the fast one,
/// above which the rate is assumed to have jumped.
const JUMP_THRESHOLD: f64 = 0.3;
/// The limit on extrapolation beyond the quick and the fast rate, relative to
/// them.
const TREND_LIMIT: f64 = 0.3;

/// The decayed sums and the noise of one expert.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Row {
    pub(crate) quick: Sum,
    pub(crate) fast: Sum,
    pub(crate) slow: Sum,
    /// The variance of counts relative to that of a Poisson process.
    dispersion: f64,
    /// The step at which the present burst was detected.
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
    /// Updates the dispersion from one count, before the count is added to the
    /// sums.
    pub(crate) fn update_dispersion(&mut self, tokens: f64, exposure: f64) {
        let Some(rate) = self.fast.rate() else {
            return;
        };
        let expected = rate * exposure;
        let residual = (tokens - expected).powi(2) / expected.max(1.0);
        let residual = residual.min(RESIDUAL_LIMIT * self.dispersion);
        self.dispersion += DISPERSION_GAIN * (residual - self.dispersion);
        self.dispersion = self.dispersion.max(1.0);
    }

    /// Returns the estimate at a step at which the fast and the slow sums have the
    /// given weights.
    pub(crate) fn estimate(&self, fast: f64, slow: f64, options: &Options) -> Option<Estimate> {
        let (fast_rate, slow_rate) = (self.fast.rate()?, self.slow.rate()?);
        let floor = options.floor;
        let fast_deviation = self.deviation(fast_rate, self.fast.steps(fast), floor);
        Some(Estimate {
            fast: fast_rate,
            fast_deviation,
            ahead: self.project(fast_rate, fast_deviation, options),
            slow: slow_rate,
            slow_deviation: self.deviation(slow_rate, self.slow.steps(slow), floor),
            burst: self.burst,
        })
    }

    /// Returns the rate to expect `lead` steps ahead, extrapolated from the
    /// quick and the fast rate if they differ by more than noise.
    ///
    /// Each rate lags behind a steady rise by its span, which gives the slope.
    /// After a jump there is no trend to extrapolate, and the quick rate is the
    /// best estimate.
    fn project(&self, fast: f64, deviation: f64, options: &Options) -> f64 {
        let quick = self.quick.rate().unwrap_or(fast);
        let rise = quick - fast;
        if rise.abs() < TREND_THRESHOLD * deviation {
            return fast;
        }
        if rise.abs() > JUMP_THRESHOLD * fast {
            return quick;
        }
        let slope = rise / (options.fast - options.quick);
        let projected = fast + slope * (options.fast + options.lead);
        let low = (1.0 - TREND_LIMIT) * quick.min(fast);
        let high = (1.0 + TREND_LIMIT) * quick.max(fast);
        projected.clamp(low, high)
    }

    fn deviation(&self, rate: f64, steps: f64, floor: f64) -> f64 {
        let steps = steps.max(f64::MIN_POSITIVE);
        let counted = (self.dispersion * rate.max(1.0 / steps) / steps).sqrt();
        counted.hypot(floor * rate)
    }

    /// Updates whether the expert is in a burst. Changes are compared with
    /// `min_rate` if the slow rate is below it, because changes of rarely used
    /// experts do not matter.
    pub(crate) fn update_burst(
        &mut self,
        estimate: &Estimate,
        min_rate: f64,
        options: &Options,
        now: Step,
    ) {
        let distance = (estimate.fast - estimate.slow).abs();
        let noise = estimate.fast_deviation.hypot(estimate.slow_deviation);
        let base = estimate.slow.max(min_rate);
        let hysteresis = if self.burst.is_some() { 0.5 } else { 1.0 };
        let exceeds = distance > hysteresis * options.threshold * noise
            && distance > hysteresis * options.contrast * base;
        self.burst = exceeds.then_some(self.burst.unwrap_or(now));
    }
}
