//! The entry of cactusnotch: the process that callers connect to.
//!
//! An entry takes callers' requests over HTTP, lets the routing and attempt
//! decisions say what becomes of each, and talks to the agents beside the
//! endpoints over links. Operators see its status on a port of its own.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

mod addresses;
mod admission;
mod agents;
mod body;
mod caller;
mod caps;
mod claims;
mod completion;
mod drive;
mod mailbox;
mod manner;
mod models;
mod operator;
mod options;
mod output;
mod peers;
mod problem;
mod roster;
mod server;
mod shared;
mod status;
mod stopping;
mod terms;
mod tickets;

pub use options::Options;
pub use server::{Error, Server};
pub use status::{Lagging, Observation, Status};
