//! The agent of cactusnotch: the process beside an endpoint.
//!
//! An agent is the authority over its endpoint. It receives requests from
//! entries, consults its ledger on which of them to run, calls the endpoint
//! and streams the pieces of the answers back.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

mod connection;
mod engine;
mod events;
mod options;
mod rank;
mod server;
mod state;
mod throttle;

pub use options::Options;
pub use rank::Profile;
pub use server::Server;
