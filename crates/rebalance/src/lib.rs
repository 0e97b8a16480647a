//! Keeps the load of a group's ranks balanced while the popularity of experts changes.
//!
//! An agent beside each rank reads the state of its own endpoint, reports it to the agent
//! of rank 0, and gives orders to its own endpoint. Only the agent of rank 0 starts rounds:
//! it plans a few moves, has all ranks load them, has the agent of another rank hold the
//! group before a pass, has all ranks armed for that pass, its own rank first, and releases
//! the group. Once rank 0 is armed, a round only goes forward, which makes an order that is
//! carried out late harmless. `docs/design/platform.md` gives the argument;
//! [`coordinator::Coordinator`] and [`member::Member`] make the decisions without I/O.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod agent;
pub mod codec;
pub mod coordinator;
pub mod estimate;
pub mod map;
pub mod member;
pub mod message;
pub mod plan;
pub mod pressure;
pub mod rank;
pub mod relay;
pub mod resend;
pub mod state;
pub mod takeover;
pub mod threshold;

pub mod cadence;
mod endpoint;
mod experts;
mod former;
mod layer;
mod measured;
mod moves;
mod neighbours;

pub use agent::Agent;
pub use cactusnotch_gateway::configuration::Shape;
pub use cactusnotch_gateway::pace::{self, Slowdown};
pub use map::Map;
pub use rank::Rank;
