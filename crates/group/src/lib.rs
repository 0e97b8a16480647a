//! The part of an agent beside a rank that keeps the group on one expert map.
//!
//! [`Driver`] carries out what the agreement ([`cactusnotch_switch`]) and the
//! planner ([`cactusnotch_placement`]) decide: it orders the rank's engine,
//! keeps the group's objects in the platform and talks to the agents of the
//! other ranks through [`Transport`].
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
