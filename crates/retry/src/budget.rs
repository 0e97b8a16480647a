//! A bound on the work that repeated attempts add.

/// A bound on the work that repeated attempts add: a token bucket that first
/// attempts fill, so that the bound is a fraction of them and needs no clock.
///
/// Of `n` first attempts at most `ratio * n + burst` are followed by another.
#[derive(Debug, Clone, PartialEq)]
pub struct Budget {
    ratio: f64,
    burst: f64,
    tokens: f64,
}

impl Budget {
    /// Creates a full budget of `ratio` repeated attempts for each first one,
    /// of which `burst` may come together.
    #[must_use]
    pub const fn new(ratio: f64, burst: f64) -> Self {
        Self {
            ratio,
            burst,
            tokens: burst,
        }
    }

    /// Counts a first attempt.
    pub const fn deposit(&mut self) {
        self.tokens = (self.tokens + self.ratio).min(self.burst);
    }

    /// Pays for a repeated attempt; returns whether there was enough.
    pub const fn withdraw(&mut self) -> bool {
        let enough = self.tokens >= 1.0;
        if enough {
            self.tokens -= 1.0;
        }
        enough
    }

    /// Returns the number of repeated attempts that could be made at once.
    #[must_use]
    pub const fn tokens(&self) -> f64 {
        self.tokens
    }
}
