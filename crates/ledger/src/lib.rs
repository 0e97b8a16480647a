//! Decisions of an agent on which requests run on its endpoint.
//!
//! Each endpoint has one agent. Its [`Ledger`] records the attempts that were
//! started, to prevent a key from starting twice, and those that were given
//! up, to prevent a delayed frame from starting them. It does no I/O:
//! [`Ledger::step`] takes an event and the time and returns commands.
//!
//! The guarantees hold for the lifetime of the process. Each request therefore
//! names the [`Incarnation`](cactusnotch_base::number::Incarnation) to which it
//! is addressed, and times are given as the [`Age`] of that incarnation: only
//! the agent's own clock matters.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

mod admission;
pub mod age;
mod answer;
mod attempt;
mod command;
mod delivery;
mod event;
pub mod generations;
mod identity;
mod ledger;
mod link;
pub mod message;
mod options;
mod row;
mod tombstones;
mod window;

pub use age::Age;
pub use attempt::Attempt;
pub use command::Command;
pub use event::Event;
pub use generations::Generations;
pub use identity::Identity;
pub use ledger::Ledger;
pub use link::Link;
pub use message::{Reply, Request};
pub use options::Options;
pub use window::{Holder, Terms, Window};
