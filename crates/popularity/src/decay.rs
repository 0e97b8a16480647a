//! Exponentially decayed sums.

/// The exponent at which the origin is moved, which resets weights to one before
/// they grow too large.
const MAX_EXPONENT: f64 = 50.0;

/// The weight of each step in decayed sums.
///
/// Newer steps get larger weights, counted from an origin, instead of older
/// sums being scaled down. An addition therefore touches one sum only, and the
/// order in which reports arrive does not matter.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Decay {
    span: f64,
    origin: u64,
}

impl Decay {
    pub(crate) fn new(span: f64) -> Self {
        Self { span, origin: 0 }
    }

    /// Returns the weight of `step`.
    pub(crate) fn weight(&self, step: u64) -> f64 {
        self.exponent(step).exp()
    }

    /// Moves the origin to `step` if its weight has grown too large, and returns
    /// the factor by which existing sums have to be scaled.
    pub(crate) fn rebase(&mut self, step: u64) -> Option<f64> {
        if self.exponent(step) < MAX_EXPONENT {
            return None;
        }
        let factor = (-self.exponent(step)).exp();
        self.origin = step;
        Some(factor)
    }

    #[expect(clippy::cast_precision_loss, reason = "step differences are small")]
    fn exponent(&self, step: u64) -> f64 {
        let ahead = step.saturating_sub(self.origin) as f64;
        let behind = self.origin.saturating_sub(step) as f64;
        (ahead - behind) / self.span
    }
}

/// A decayed sum of tokens and of the steps over which they were counted, each
/// step weighted by the share of traffic that the counter observed.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Sum {
    tokens: f64,
    exposure: f64,
}

impl Sum {
    pub(crate) fn add(&mut self, weight: f64, tokens: f64, exposure: f64) {
        self.tokens += weight * tokens;
        self.exposure += weight * exposure;
    }

    pub(crate) fn scale(&mut self, factor: f64) {
        self.tokens *= factor;
        self.exposure *= factor;
    }

    /// Returns the tokens per step, if any step has been counted.
    pub(crate) fn rate(&self) -> Option<f64> {
        (self.exposure > f64::MIN_POSITIVE).then(|| self.tokens / self.exposure)
    }

    /// Returns the decayed number of steps at a step of weight `now`.
    pub(crate) fn steps(&self, now: f64) -> f64 {
        self.exposure / now
    }
}
