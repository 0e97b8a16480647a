//! Times measured by callers.

use std::fmt;
use std::time::Duration;

use hdrhistogram::Histogram;

use crate::caller::Answer;

/// The significant digits that are kept.
const DIGITS: u8 = 3;

/// The longest time that is told apart, in microseconds.
const LONGEST: u64 = 600_000_000;

/// Times measured by callers, in microseconds.
#[derive(Debug, Clone)]
pub struct Figures {
    first: Histogram<u64>,
    gaps: Histogram<u64>,
}

impl Default for Figures {
    fn default() -> Self {
        let histogram =
            || Histogram::new_with_max(LONGEST, DIGITS).expect("the constant bounds are valid");
        Self {
            first: histogram(),
            gaps: histogram(),
        }
    }
}

impl Figures {
    /// Adds the times of one answer.
    pub fn add(&mut self, answer: &Answer) {
        if let Some(first) = answer.first_token {
            self.first.saturating_record(micros(first));
        }
        for gap in &answer.gaps {
            self.gaps.saturating_record(micros(*gap));
        }
    }

    /// Adds what another caller measured.
    ///
    /// # Panics
    ///
    /// Never: all histograms have the same bounds.
    pub fn merge(&mut self, other: &Self) {
        self.first.add(&other.first).expect("the bounds are equal");
        self.gaps.add(&other.gaps).expect("the bounds are equal");
    }

    /// Returns the number of answers.
    #[must_use]
    pub fn answers(&self) -> u64 {
        self.first.len()
    }

    /// Returns a quantile of the time to the first token.
    #[must_use]
    pub fn first_token(&self, quantile: f64) -> Duration {
        Duration::from_micros(self.first.value_at_quantile(quantile))
    }

    /// Returns a quantile of the time between tokens.
    #[must_use]
    pub fn between_tokens(&self, quantile: f64) -> Duration {
        Duration::from_micros(self.gaps.value_at_quantile(quantile))
    }
}

impl fmt::Display for Figures {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "first token p50 {:.1} ms, p95 {:.1} ms; between tokens p50 {:.1} ms, p95 {:.1} ms",
            millis(self.first_token(0.5)),
            millis(self.first_token(0.95)),
            millis(self.between_tokens(0.5)),
            millis(self.between_tokens(0.95)),
        )
    }
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1_000.0
}
