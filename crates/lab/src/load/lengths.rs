//! Skewed lengths: most short, a few long.

use std::time::Duration;

use rand::Rng;
use rand_distr::{Distribution, LogNormal};

use crate::Failure;

/// Skewed lengths, drawn from a log-normal distribution and bounded.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Lengths {
    /// The length that half of them stay below.
    pub median: f64,
    /// The standard deviation of the logarithm; zero makes all equal.
    pub sigma: f64,
    /// The longest.
    pub longest: usize,
}

impl Lengths {
    /// Returns lengths that are all equal.
    #[must_use]
    pub fn equal(length: u32) -> Self {
        Self {
            median: f64::from(length),
            sigma: 0.0,
            longest: usize::try_from(length).unwrap_or(usize::MAX),
        }
    }

    /// Returns the distribution.
    pub(crate) fn distribution(&self) -> Result<LogNormal<f64>, Failure> {
        LogNormal::new(self.median.ln(), self.sigma).map_err(Failure::at("lengths of a plan"))
    }

    /// Draws a length of at least one.
    pub(crate) fn draw(&self, distribution: &LogNormal<f64>, random: &mut impl Rng) -> usize {
        let drawn = Duration::try_from_secs_f64(distribution.sample(random).round());
        let drawn = drawn.map_or(u64::MAX, |seconds| seconds.as_secs());
        usize::try_from(drawn)
            .unwrap_or(usize::MAX)
            .clamp(1, self.longest)
    }
}
