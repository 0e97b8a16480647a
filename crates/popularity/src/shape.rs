//! The layers and experts of a model.

use cactusnotch_derive::number;
use derive_more::Display;

/// The number of expert layers of a model, and of experts per layer.
#[number]
#[derive(Display)]
#[display("{layers} layers of {experts} experts")]
pub struct Shape {
    /// The number of layers that have experts.
    pub layers: u16,
    /// The number of experts of each layer.
    pub experts: u16,
}

impl Shape {
    /// Returns the number of cells, one for each expert of each layer.
    #[must_use]
    pub const fn cells(self) -> usize {
        self.layers as usize * self.experts as usize
    }

    /// Returns the index of `cell` in a table with one row per cell, or `None` if
    /// the model has no such expert.
    #[must_use]
    pub const fn index(self, cell: Cell) -> Option<usize> {
        if cell.layer < self.layers && cell.expert < self.experts {
            Some(cell.layer as usize * self.experts as usize + cell.expert as usize)
        } else {
            None
        }
    }

    /// Returns the indices of the cells of `layer`.
    #[must_use]
    pub const fn layer(self, layer: u16) -> std::ops::Range<usize> {
        let experts = self.experts as usize;
        let start = layer as usize * experts;
        start..start + experts
    }
}

/// One expert of one layer.
#[number]
#[derive(Display)]
#[display("layer {layer} expert {expert}")]
pub struct Cell {
    /// The layer, counted from zero.
    pub layer: u16,
    /// The expert within its layer, counted from zero.
    pub expert: u16,
}
