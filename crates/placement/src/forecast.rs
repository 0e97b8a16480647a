//! The loads that a plan is made for.

use cactusnotch_base::number::Step;
use cactusnotch_popularity::{Cell, Estimate, Popularity, Shape};

/// The least load of an expert, as a part of the mean of its layer.
const LEAST: f64 = 1e-3;

/// The loads of one layer on both time scales, in tokens per step.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Forecast {
    /// The loads of the next seconds.
    pub(crate) near: Vec<f64>,
    /// The loads after the bursts of today have passed.
    pub(crate) far: Vec<f64>,
    /// The standard deviation of `near`.
    pub(crate) deviation: Vec<f64>,
    /// The steps for which the oldest burst of the layer has lasted.
    pub(crate) burst: Option<u64>,
}

impl Forecast {
    /// Reads the forecast of `layer` from the estimates. An expert of which
    /// nothing has been counted is given the mean of the layer.
    pub(crate) fn new(popularity: &Popularity, shape: Shape, layer: u16) -> Self {
        let mean = popularity.mean(layer);
        let mean = if mean > 0.0 { mean } else { 1.0 };
        let experts = usize::from(shape.experts);
        let mut forecast = Self {
            near: Vec::with_capacity(experts),
            far: Vec::with_capacity(experts),
            deviation: Vec::with_capacity(experts),
            burst: None,
        };
        for expert in 0..shape.experts {
            match popularity.rate(Cell { layer, expert }) {
                Some(estimate) => forecast.push(&estimate, mean * LEAST, popularity.now()),
                None => forecast.push_unknown(mean),
            }
        }
        forecast
    }

    fn push(&mut self, estimate: &Estimate, least: f64, now: Step) {
        let near = estimate.rate().max(least);
        let age = estimate.age(now);
        let far = age.map_or(near, |_| estimate.slow.max(least));
        self.near.push(near);
        self.far.push(far);
        self.deviation.push(estimate.deviation());
        self.burst = self.burst.max(age);
    }

    fn push_unknown(&mut self, mean: f64) {
        self.near.push(mean);
        self.far.push(mean);
        self.deviation.push(mean);
    }
}
