//! The moves of one layer, valued together.

use crate::forecast::Forecast;
use crate::layer::Layer;
use crate::search::{self, LayerMove, Ranks};

/// The value of saved step time and the cost of moves, in the same unit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct CostModel {
    /// The value of one unit of a layer's step time, saved for one second.
    pub(crate) saving: f64,
    /// The cost of one move.
    pub(crate) cost: f64,
    /// The seconds for which the near loads are expected to last.
    pub(crate) near: f64,
    /// The seconds after `near` for which the far loads are expected to last.
    pub(crate) far: f64,
    /// The number of standard deviations that a saving must exceed.
    pub(crate) caution: f64,
}

/// The moves of one layer in order, with the net value of each prefix.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Bundle {
    pub(crate) layer: u16,
    pub(crate) moves: Vec<LayerMove>,
    model: CostModel,
    /// The value less the cost of the first one, two, ... moves.
    values: Vec<f64>,
}

impl Bundle {
    /// Creates a bundle without moves.
    pub(crate) fn new(layer: u16, model: CostModel) -> Self {
        Self {
            layer,
            moves: Vec::new(),
            model,
            values: Vec::new(),
        }
    }

    /// Searches for moves until the layer's step time reaches the target or the
    /// limit on moves is reached. Stops early if `effort` is used up.
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
        if !self.can_pay_back(near - target, far) {
            return;
        }
        let mut current = layer.clone();
        while self.moves.len() < limit && current.slowest() > target {
            let Some((layer_move, after)) = search::best_move(&current, ranks, effort) else {
                break;
            };
            self.moves.push(layer_move);
            let noise = self.model.caution * self.noise(&after, forecast, ranks);
            let saved = near - after.slowest() - noise;
            let far_saved = far - self.far(&after, forecast, ranks);
            self.values.push(self.value(saved, far_saved));
            current = after;
        }
    }

    /// Returns the slowest rank's time under the far loads, or zero if the far
    /// period is empty.
    fn far(&self, layer: &Layer, forecast: &Forecast, ranks: Ranks) -> f64 {
        if self.model.far > 0.0 {
            layer.with_loads(&forecast.far, ranks.speeds).slowest()
        } else {
            0.0
        }
    }

    /// Returns whether a single move would pay back if it removed all step time
    /// above the target now and all of it later.
    fn can_pay_back(&self, near: f64, far: f64) -> bool {
        let model = &self.model;
        model.saving * (near * model.near + far * model.far) > model.cost
    }

    /// Returns the net value of the moves if they save the given step time now
    /// (`saved`) and later (`far_saved`). The loss of moves that slow the layer
    /// later is limited to the cost of the moves, as that is the cost of
    /// undoing them.
    #[expect(clippy::cast_precision_loss, reason = "a bundle has few moves")]
    fn value(&self, saved: f64, far_saved: f64) -> f64 {
        let model = &self.model;
        let cost = model.cost * self.moves.len() as f64;
        let far_saved = (model.saving * far_saved * model.far).max(-cost);
        model.saving * saved.max(0.0) * model.near + far_saved - cost
    }

    /// Returns the standard deviation of the busy time per rank of the moved
    /// expert whose load is the least certain.
    fn noise(&self, layer: &Layer, forecast: &Forecast, ranks: Ranks) -> f64 {
        let deviation_of = |layer_move: &LayerMove| {
            let expert = usize::from(layer_move.expert);
            let assignments = layer.rows[expert].iter();
            let speed: f64 = assignments
                .map(|assignment| ranks.speeds[assignment.index()])
                .sum();
            forecast.deviation[expert] / speed
        };
        self.moves.iter().map(deviation_of).fold(0.0, f64::max)
    }

    /// Returns the number of moves, up to `limit`, with the highest net value,
    /// and that value; zero moves if none pays back.
    pub(crate) fn best(&self, limit: usize) -> (usize, f64) {
        let values = (1..).zip(&self.values).take(limit);
        values.fold(
            (0, 0.0),
            |best, (count, &value)| {
                if value > best.1 { (count, value) } else { best }
            },
        )
    }

    /// Returns the value per move of the best number of moves.
    #[expect(clippy::cast_precision_loss, reason = "a bundle has few moves")]
    pub(crate) fn value_per_move(&self) -> f64 {
        let (count, value) = self.best(usize::MAX);
        if count == 0 {
            0.0
        } else {
            value / count as f64
        }
    }
}
