//! The agent of cactusnotch: the process in an endpoint host's slot.
//!
//! An agent is the authority over its endpoint. It takes requests from
//! entries, lets its ledger decide which of them run, makes the calls to the
//! endpoint and sends the pieces of the answers back.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

mod engine;
mod events;
mod needs;
mod options;
mod rank;
mod server;
mod state;

pub use options::Options;
pub use rank::Rank;
pub use server::Server;
