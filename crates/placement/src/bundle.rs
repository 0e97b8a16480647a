//! The moves of one layer that pay back together.

use crate::forecast::Forecast;
use crate::layer::Layer;
use crate::search::{self, Ranks, Step};

/// What seconds saved and spent are worth to the group.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Terms {
    /// What one unit of a layer's step time, saved for one second, is worth.
    pub(crate) saving: f64,
    /// What one move costs.
    pub(crate) cost: f64,
    /// The seconds for which the near loads are expected.
    pub(crate) near: f64,
    /// The seconds after that for which the far loads are expected.
    pub(crate) far: f64,
    /// The standard deviations that a saving must exceed.
    pub(crate) caution: f64,
}

/// The moves of one layer in order, and what the first of them are worth.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Bundle {
    pub(crate) layer: u16,
    pub(crate) steps: Vec<Step>,
    terms: Terms,
    /// The value less the cost of the first moves, for one move, two, ...
    values: Vec<f64>,
}

impl Bundle {
    /// Creates a bundle without moves.
    pub(crate) fn new(layer: u16, terms: Terms) -> Self {
        Self {
            layer,
            steps: Vec::new(),
            terms,
            values: Vec::new(),
        }
    }

    /// Searches moves, up to a limit, until the layer is as fast as a target.
    pub(crate) fn search(
        &mut self,
        layer: &Layer,
        forecast: &Forecast,
        ranks: Ranks,
        (limit, target): (usize, f64),
        effort: &mut usize,
    ) {
        let near = layer.slowest();
        let far = self.far(layer, forecast, ranks);
        if !self.hopeful(near - target, far) {
            return;
        }
        let mut current = layer.clone();
        while self.steps.len() < limit && current.slowest() > target {
            let Some((step, after)) = search::next(&current, ranks, effort) else {
                break;
            };
            self.steps.push(step);
            let noise = self.terms.caution * self.noise(&after, forecast, ranks);
            let saved = near - after.slowest() - noise;
            let eventual = far - self.far(&after, forecast, ranks);
            self.values.push(self.value(saved, eventual));
            current = after;
        }
    }

    /// Returns the slowest rank's time under the far loads, or zero if none are
    /// expected.
    fn far(&self, layer: &Layer, forecast: &Forecast, ranks: Ranks) -> f64 {
        if self.terms.far > 0.0 {
            layer.under(&forecast.far, ranks.speeds).slowest()
        } else {
            0.0
        }
    }

    /// Tells whether a single move could pay back if it saved all that can be
    /// saved.
    fn hopeful(&self, near: f64, far: f64) -> bool {
        let terms = &self.terms;
        terms.saving * (near * terms.near + far * terms.far) > terms.cost
    }

    /// Returns the worth of the moves if they save so much of the layer's step
    /// time now and later. Moves that would slow the layer later can be undone,
    /// which costs as much again.
    #[expect(clippy::cast_precision_loss, reason = "a bundle has few moves")]
    fn value(&self, saved: f64, eventual: f64) -> f64 {
        let terms = &self.terms;
        let cost = terms.cost * self.steps.len() as f64;
        let eventual = (terms.saving * eventual * terms.far).max(-cost);
        terms.saving * saved.max(0.0) * terms.near + eventual - cost
    }

    /// Returns the standard deviation of the time that the most uncertain of
    /// the moved experts takes on each of its ranks.
    fn noise(&self, layer: &Layer, forecast: &Forecast, ranks: Ranks) -> f64 {
        let each = |step: &Step| {
            let expert = usize::from(step.expert);
            let parts = layer.rows[expert].iter();
            let speed: f64 = parts.map(|part| ranks.speeds[part.at()]).sum();
            forecast.deviation[expert] / speed
        };
        self.steps.iter().map(each).fold(0.0, f64::max)
    }

    /// Returns the number of moves, up to `most`, that are worth the most, and
    /// their worth; zero moves if none pays back.
    pub(crate) fn best(&self, most: usize) -> (usize, f64) {
        let values = (1..).zip(&self.values).take(most);
        values.fold(
            (0, 0.0),
            |best, (count, &value)| {
                if value > best.1 { (count, value) } else { best }
            },
        )
    }

    /// Returns the worth of the best number of moves, for each of them.
    #[expect(clippy::cast_precision_loss, reason = "a bundle has few moves")]
    pub(crate) fn density(&self) -> f64 {
        let (count, value) = self.best(usize::MAX);
        if count == 0 {
            0.0
        } else {
            value / count as f64
        }
    }
}
