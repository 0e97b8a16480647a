//! Keeps the load of a group's ranks even while experts come into fashion.
//!
//! An agent beside each rank reads its own endpoint, reports to the agent of
//! rank 0, and gives its own endpoint orders. The agent of rank 0 alone starts
//! a round: it plans a few moves, has all ranks load them, has another rank's agent hold
//! the group before a step, has all ranks armed for that step, its own first, and lets
//! the group go on. Once its own rank is armed a round only goes forward, so that an order
//! which is carried out late can do no harm; `docs/design/platform.md` has the
//! argument, and [`coordinator::Coordinator`] and [`member::Member`] decide
//! without input or output.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod again;
pub mod agent;
pub mod codec;
pub mod coordinator;
pub mod estimate;
pub mod map;
pub mod member;
pub mod message;
pub mod plan;
pub mod pressure;
pub mod price;
pub mod rank;
pub mod relay;
pub mod rescue;
pub mod state;

pub mod cadence;
mod endpoint;
mod experts;
mod layer;
mod moves;
mod neighbours;

pub use agent::Agent;
pub use cactusnotch_gateway::configuration::Shape;
pub use cactusnotch_gateway::pace::{self, Slowdown};
pub use map::Map;
pub use rank::Rank;
