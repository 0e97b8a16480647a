//! Expert maps and the planner that replicates and places experts by load.
//!
//! The planner does no I/O. A driver passes it the reports of ranks, requests a
//! plan every few seconds, loads the weights that the plan names and switches
//! to the plan's map for the moves that were completed.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod bound;
pub mod budget;
pub mod map;
pub mod moves;
pub mod options;
pub mod pack;
pub mod plan;
pub mod planner;
pub mod replica;
pub mod state;
pub mod weights;

mod bundle;
mod draft;
mod fill;
mod forecast;
mod improve;
mod layer;
mod restore;
mod search;

pub use budget::Budget;
pub use cactusnotch_popularity::{Cell, Count, Popularity, Rank, Report, Shape, Share};
pub use map::Map;
pub use moves::Move;
pub use options::Options;
pub use plan::Plan;
pub use planner::Planner;
pub use replica::Replica;
pub use state::State;
pub use weights::Weights;
