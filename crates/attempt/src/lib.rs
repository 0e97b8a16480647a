//! The handling of one request at an entry, from its claim to its final answer.
//!
//! An [`Exchange`] does no I/O: [`Exchange::step`] takes an event and the time
//! and returns commands. It reports `not-run` only if the request was never
//! dispatched or if the agent refused it permanently, and otherwise `unknown`.
//! It passes on each piece of an answer once and in order, and an answer is
//! complete only with its end mark.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

mod answer;
mod budget;
mod command;
mod event;
mod exchange;
mod intake;
mod options;
mod order;
mod recovery;
mod replies;

pub use answer::{Answer, Reason};
pub use budget::Budget;
pub use command::Command;
pub use event::Event;
pub use exchange::Exchange;
pub use options::Options;
pub use order::{Mode, Order};
