//! The entry of cactusnotch: the process that callers connect to.
//!
//! An entry accepts callers' requests over HTTP, applies the routing and
//! attempt decisions to each, and exchanges messages with the agents beside
//! the endpoints over links. A separate port serves its status to operators.
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
mod headers;
mod mailbox;
mod models;
mod operator;
mod options;
mod output;
mod peers;
mod problem;
mod queueing;
mod roster;
mod server;
mod shared;
mod status;
mod stopping;
mod tickets;

pub use options::Options;
pub use server::{Error, Server};
pub use status::{Lagging, Observation, Status};
