//! A bound on the load that repeated attempts add.

/// A bound on the load that repeated attempts add: a token bucket that is filled by
/// first attempts, so the bound is a fraction of these and needs no clock.
///
/// At most `ratio * n + burst` repeated attempts follow `n` first attempts.
#[derive(Debug, Clone, PartialEq)]
pub struct Budget {
    ratio: f64,
    burst: f64,
    tokens: f64,
}

impl Budget {
    /// Creates a full budget of `ratio` repeated attempts per first attempt, with
    /// bursts of up to `burst`.
    #[must_use]
    pub const fn new(ratio: f64, burst: f64) -> Self {
        Self {
            ratio,
            burst,
            tokens: burst,
        }
    }

    /// Creates a budget like [`Budget::new`] without tokens: what a former process has taken is
    /// not given out again.
    #[must_use]
    pub const fn empty(ratio: f64, burst: f64) -> Self {
        Self {
            ratio,
            burst,
            tokens: 0.0,
        }
    }

    /// Changes the ratio and the burst; tokens beyond the burst are lost.
    pub const fn configure(&mut self, ratio: f64, burst: f64) {
        self.ratio = ratio;
        self.burst = burst;
        self.tokens = self.tokens.min(burst);
    }

    /// Adds the tokens for a first attempt.
    pub const fn deposit(&mut self) {
        self.tokens = (self.tokens + self.ratio).min(self.burst);
    }

    /// Takes a token for a repeated attempt; returns `false` if there is none.
    pub const fn withdraw(&mut self) -> bool {
        let enough = self.tokens >= 1.0;
        if enough {
            self.tokens -= 1.0;
        }
        enough
    }

    /// Returns the available tokens, which is the number of repeated attempts possible now.
    #[must_use]
    pub const fn tokens(&self) -> f64 {
        self.tokens
    }
}
