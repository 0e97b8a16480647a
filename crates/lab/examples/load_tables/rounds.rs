//! Rounds of the same load, and their medians.

use std::time::Duration;

use cactusnotch_lab::load::Report;

/// Rounds of the same load.
#[derive(Debug, Default)]
pub(crate) struct Rounds {
    pub(crate) reports: Vec<Report>,
}

impl Rounds {
    /// Returns the median over the rounds of what `figure` tells.
    pub(crate) fn median(&self, figure: impl Fn(&Report) -> f64) -> f64 {
        median(self.reports.iter().map(figure).collect())
    }

    /// Returns the sum over the rounds of what `count` tells.
    pub(crate) fn sum(&self, count: impl Fn(&Report) -> u64) -> u64 {
        self.reports.iter().map(count).sum()
    }

    /// Returns the median times in milliseconds to the first token.
    pub(crate) fn first(&self, quantile: f64) -> f64 {
        self.median(|report| millis(report.figures.first_token(quantile)))
    }

    /// Returns the median times in milliseconds between tokens.
    pub(crate) fn between(&self, quantile: f64) -> f64 {
        self.median(|report| millis(report.figures.between_tokens(quantile)))
    }
}

/// Returns the median, the upper one of two.
pub(crate) fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or_default()
}

pub(crate) fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1_000.0
}
