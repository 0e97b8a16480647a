//! An instruction to load an expert.

use cactusnotch_derive::number;
use cactusnotch_popularity::{Cell, Rank};
use derive_more::Display;

/// An instruction for a rank to load an expert from the weight store.
#[number]
#[derive(Display)]
#[display("load {cell} on rank {to}")]
pub struct Move {
    /// The expert to load.
    pub cell: Cell,
    /// The rank that loads it.
    pub to: Rank,
    /// The expert of the same layer that the rank evicts to free the slot.
    /// Another replica of it exists if moves are made in the plan's order.
    pub evict: Option<u16>,
}
