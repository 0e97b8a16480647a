//! Fenced, idempotent orders to engines, confirmed by reading back.
//!
//! An agent is the only sender of orders to its engine. [`Sender`] holds the
//! states that the agent wants the engine to have, sends one order at a time
//! and settles each by the state that the engine reports, never by the mere
//! absence of a reply. It does no I/O: a driver carries out its [`Command`]s
//! and returns [`Event`]s. [`model`] defines the orders to model engines; the
//! orders to the ranks of a group are in `cactusnotch-switch`.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod model;
mod order;
mod sender;
mod wanted;

pub use order::{Answer, Order, Reply};
pub use sender::{Command, Event, Fencing, Options, Sender, Settlement};
pub use wanted::{Progress, Wanted};
