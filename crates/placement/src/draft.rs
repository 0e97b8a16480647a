//! The working state of a plan under construction.

use cactusnotch_popularity::{Cell, Popularity, Rank};

use crate::bound;
use crate::forecast::Forecast;
use crate::layer::Layer;
use crate::map::Map;
use crate::moves::Move;
use crate::options::Options;
use crate::replica::Replica;
use crate::restore;
use crate::search::{LayerMove, Ranks};
use crate::state::State;

/// A plan under construction: working copies of the layers and the moves
/// applied to them so far.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Draft {
    slots: usize,
    /// The speed of each rank in tokens per second.
    pub(crate) speeds: Vec<f64>,
    /// Whether each rank can hold experts.
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
    /// Copies `current` without the replicas on ranks that are not loaded.
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
        let is_loaded = |rank: Rank| states[rank.index()] == State::Loaded;
        for (rows, forecast) in rows
            .chunks(usize::from(shape.experts))
            .zip(&draft.forecasts)
        {
            let loads = forecast.near.clone();
            let layer = Layer::new(rows.iter().copied(), loads, &draft.speeds, is_loaded);
            draft.layers.push(layer);
        }
        draft.compute_bounds();
        draft
    }

    fn compute_bounds(&mut self) {
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

    /// Rebalances the traffic of all layers over their replicas.
    pub(crate) fn balance(&mut self) {
        for layer in &mut self.layers {
            layer.balance(&self.speeds);
        }
    }

    /// Adds the moves that give every expert of `layer` a replica. Returns
    /// `None` if there are too few slots.
    pub(crate) fn restore(&mut self, layer: u16) -> Option<()> {
        let index = usize::from(layer);
        let ranks = Ranks {
            speeds: &self.speeds,
            usable: &self.usable,
            slots: self.slots,
        };
        let moves = restore::restore(&mut self.layers[index], ranks)?;
        self.record(layer, &moves);
        Some(())
    }

    /// Applies `moves` to `layer` and records them.
    pub(crate) fn apply(&mut self, layer: u16, moves: &[LayerMove]) {
        for layer_move in moves {
            layer_move.apply(&mut self.layers[usize::from(layer)], &self.speeds);
        }
        self.record(layer, moves);
    }

    fn record(&mut self, layer: u16, moves: &[LayerMove]) {
        self.moves.extend(moves.iter().map(|layer_move| Move {
            cell: Cell {
                layer,
                expert: layer_move.expert,
            },
            to: Rank(layer_move.rank),
            evict: layer_move.evict,
        }));
    }

    /// Returns the ranks with their speeds, usability and slots.
    pub(crate) fn ranks(&self) -> Ranks<'_> {
        Ranks {
            speeds: &self.speeds,
            usable: &self.usable,
            slots: self.slots,
        }
    }
}
