//! A plan: an ordered list of moves, and the map after each.

use cactusnotch_derive::message;
use cactusnotch_popularity::Shape;

use crate::layer::Layer;
use crate::map::{self, Map};
use crate::moves::Move;
use crate::search::LayerMove;

/// The predicted effect of a plan. Skew is the time of the slowest rank over
/// that of perfect balance, summed over the layers.
#[message]
#[derive(Copy)]
pub struct Prediction {
    /// The skew under the current map on the usable ranks.
    pub before: f64,
    /// The skew after traffic is rebalanced over the existing replicas.
    pub split: f64,
    /// The skew after all moves.
    pub after: f64,
    /// A lower bound on the skew of any placement.
    pub bound: f64,
    /// The bytes to load.
    pub bytes: u64,
}

/// An ordered list of moves, with the map after each of them.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    /// The moves, in the order in which they are to be made.
    pub moves: Vec<Move>,
    /// How many of the first moves are needed to give every expert a replica on
    /// a usable rank. The group cannot run until they are made.
    pub required: usize,
    /// The predicted effect of the plan.
    pub predicted: Prediction,
    pub(crate) shape: Shape,
    pub(crate) speeds: Vec<f64>,
    pub(crate) layers: Vec<Layer>,
}

impl Plan {
    /// Returns the map after all moves.
    ///
    /// # Errors
    ///
    /// Returns no error for a plan that a planner made.
    pub fn map(&self) -> Result<Map, map::Error> {
        self.map_after(self.moves.len())
    }

    /// Returns the map after the first `count` moves, with traffic rebalanced.
    /// With zero moves these are the current replicas with a new split.
    ///
    /// # Errors
    ///
    /// Returns an error if fewer than the required moves are made.
    pub fn map_after(&self, count: usize) -> Result<Map, map::Error> {
        let mut layers = self.layers.clone();
        for next in self.moves.iter().take(count) {
            let layer = &mut layers[usize::from(next.cell.layer)];
            LayerMove::from(*next).apply(layer, &self.speeds);
        }
        let rows = layers.iter().flat_map(Layer::replicas).collect();
        Map::new(self.shape, rows)
    }
}

impl From<Move> for LayerMove {
    fn from(next: Move) -> Self {
        Self {
            expert: next.cell.expert,
            rank: next.to.0,
            evict: next.evict,
        }
    }
}
