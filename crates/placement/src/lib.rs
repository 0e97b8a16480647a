//! Expert maps and the planner that decides replicas and places for hot
//! experts.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod map;
pub mod replica;

pub use cactusnotch_popularity::{Cell, Rank, Shape};
pub use map::Map;
pub use replica::{Replica, Share};
