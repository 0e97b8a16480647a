//! The layers that a plan is made from.

use cactusnotch_popularity::{Cell, Popularity, Rank};

use crate::bound;
use crate::forecast::Forecast;
use crate::layer::Layer;
use crate::map::Map;
use crate::moves::Move;
use crate::options::Options;
use crate::replica::Replica;
use crate::restore;
use crate::search::{Ranks, Step};
use crate::state::State;

/// The layers that a plan is made from, and the moves made in them so far.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Draft {
    slots: usize,
    /// Tokens per second of each rank.
    pub(crate) speeds: Vec<f64>,
    /// Whether each rank can be given experts.
    pub(crate) usable: Vec<bool>,
    pub(crate) forecasts: Vec<Forecast>,
    pub(crate) layers: Vec<Layer>,
    /// A lower bound on the step time of each layer.
    pub(crate) bounds: Vec<f64>,
    pub(crate) moves: Vec<Move>,
    /// The step time under perfect balance.
    ideal: f64,
}

impl Draft {
    /// Copies `current` without the replicas that the states say are lost.
    pub(crate) fn new(
        options: &Options,
        popularity: &Popularity,
        current: &Map,
        states: &[State],
    ) -> Self {
        let shape = options.shape;
        let speeds = popularity.speeds();
        let forecasts: Vec<_> = (0..shape.layers)
            .map(|layer| Forecast::new(popularity, shape, layer))
            .collect();
        let mut draft = Self {
            slots: options.slots,
            usable: states.iter().map(|&state| state != State::Gone).collect(),
            speeds,
            layers: Vec::with_capacity(forecasts.len()),
            bounds: Vec::with_capacity(forecasts.len()),
            moves: Vec::new(),
            ideal: 0.0,
            forecasts,
        };
        let rows: Vec<&[Replica]> = current.cells().map(|(_, row)| row).collect();
        let holds = |rank: Rank| states[rank.index()] == State::Loaded;
        for (rows, forecast) in rows
            .chunks(usize::from(shape.experts))
            .zip(&draft.forecasts)
        {
            let loads = forecast.near.clone();
            let layer = Layer::new(rows.iter().copied(), loads, &draft.speeds, holds);
            draft.layers.push(layer);
        }
        draft.measure();
        draft
    }

    fn measure(&mut self) {
        let speeds: Vec<f64> = self
            .speeds
            .iter()
            .zip(&self.usable)
            .map(|(&speed, &usable)| if usable { speed } else { 0.0 })
            .collect();
        let total: f64 = speeds.iter().sum();
        for forecast in &self.forecasts {
            let bound = bound::layer_time(&forecast.near, &speeds, self.slots);
            self.bounds.push(bound);
            self.ideal += forecast.near.iter().sum::<f64>() / total;
        }
    }

    /// Returns the time of the slowest rank, summed over the layers.
    pub(crate) fn slowest(&self) -> f64 {
        self.layers.iter().map(Layer::slowest).sum()
    }

    /// Returns the skew: the slowest rank's time over that of perfect balance.
    pub(crate) fn skew(&self) -> f64 {
        self.slowest() / self.ideal
    }

    /// Returns a lower bound on the skew.
    pub(crate) fn bound(&self) -> f64 {
        self.bounds.iter().sum::<f64>() / self.ideal
    }

    /// Splits the traffic of all layers anew.
    pub(crate) fn balance(&mut self) {
        for layer in &mut self.layers {
            layer.balance(&self.speeds);
        }
    }

    /// Makes the moves that the experts of `layer` need for a replica each;
    /// returns `None` if there are too few slots.
    pub(crate) fn restore(&mut self, layer: u16) -> Option<()> {
        let at = usize::from(layer);
        let ranks = Ranks {
            speeds: &self.speeds,
            usable: &self.usable,
            slots: self.slots,
        };
        let steps = restore::restore(&mut self.layers[at], ranks)?;
        self.record(layer, &steps);
        Some(())
    }

    /// Makes `steps` in `layer`.
    pub(crate) fn make(&mut self, layer: u16, steps: &[Step]) {
        for step in steps {
            step.apply(&mut self.layers[usize::from(layer)], &self.speeds);
        }
        self.record(layer, steps);
    }

    fn record(&mut self, layer: u16, steps: &[Step]) {
        self.moves.extend(steps.iter().map(|step| Move {
            cell: Cell {
                layer,
                expert: step.expert,
            },
            to: Rank(step.rank),
            evict: step.evict,
        }));
    }

    /// Returns the ranks that may be given experts.
    pub(crate) fn ranks(&self) -> Ranks<'_> {
        Ranks {
            speeds: &self.speeds,
            usable: &self.usable,
            slots: self.slots,
        }
    }
}
