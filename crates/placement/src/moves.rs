//! One order to load an expert.

use cactusnotch_derive::number;
use cactusnotch_popularity::{Cell, Rank};
use derive_more::Display;

/// One order to a rank to load an expert from the weight store.
#[number]
#[derive(Display)]
#[display("load {cell} on rank {to}")]
pub struct Move {
    /// The expert to load.
    pub cell: Cell,
    /// The rank that loads it.
    pub to: Rank,
    /// The expert of the same layer that the rank gives up for it. It has
    /// another replica when the move is made in the order of its plan.
    pub evict: Option<u16>,
}
