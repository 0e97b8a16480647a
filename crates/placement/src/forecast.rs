//! The expected loads of a layer.

use cactusnotch_base::number::Step;
use cactusnotch_popularity::{Cell, Estimate, Popularity, Shape};

/// The minimum load of an expert, as a fraction of the mean of its layer.
const MIN_LOAD_RATIO: f64 = 1e-3;

/// The expected loads of one layer on two time scales, in tokens per step.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Forecast {
    /// The loads expected in the next seconds.
    pub(crate) near: Vec<f64>,
    /// The loads expected after the present bursts have ended.
    pub(crate) far: Vec<f64>,
    /// The standard deviation of `near`.
    pub(crate) deviation: Vec<f64>,
    /// The age in steps of the oldest burst in the layer.
    pub(crate) burst: Option<u64>,
}

impl Forecast {
    /// Derives the forecast of `layer` from the estimates. An expert without
    /// any counts is assigned the mean load of the layer.
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
                Some(estimate) => forecast.push(&estimate, mean * MIN_LOAD_RATIO, popularity.now()),
                None => forecast.push_unknown(mean),
            }
        }
        forecast
    }

    fn push(&mut self, estimate: &Estimate, min_load: f64, now: Step) {
        let near = estimate.rate().max(min_load);
        let age = estimate.age(now);
        let far = age.map_or(near, |_| estimate.slow.max(min_load));
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
