//! Decisions of an agent over which requests run on its endpoint.
//!
//! An agent is the authority over one endpoint. Its [`Ledger`] remembers the
//! attempts that were started, so that a key never starts twice, and those
//! that were given up, so that a late frame never starts them. It does no I/O:
//! [`Ledger::step`] takes an event and the time and returns commands.
//!
//! The promises hold for as long as the process lives, which is why each
//! request names the [`Incarnation`](cactusnotch_base::number::Incarnation) it
//! is meant for, and why times are stated as the [`Age`] of that incarnation:
//! no clock but the agent's own takes part.
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
