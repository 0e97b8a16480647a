//! The part of an agent beside a rank that keeps all ranks of the group on one
//! expert map.
//!
//! [`Driver`] carries out the decisions of the switch protocol
//! ([`cactusnotch_switch`]) and of the planner ([`cactusnotch_placement`]): it
//! sends orders to the rank's engine, maintains the group's objects in the
//! platform and exchanges messages with the agents of the other ranks through
//! [`Transport`].
#![deny(missing_docs)]
#![forbid(unsafe_code)]

mod coordination;
mod driver;
mod engine;
mod input;
mod membership;
mod objects;
mod options;
mod planning;
mod status;
mod transport;

pub use driver::Driver;
pub use options::{Options, Planning};
pub use status::Status;
pub use transport::Transport;
