//! Overload control for groups of ranks.
//!
//! The leader of a group limits the number of its running requests to a [`Ceiling`] at which
//! streams stay on time, predicted by a [`Model`] of a forward pass. Entries let each
//! [`Class`] of requests fill a part of it, and keep the others in a [`Queue`]. The crate does no I/O; time and the random
//! source are passed in.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod cause;
pub mod ceiling;
pub mod class;
mod drain;
pub mod kind;
pub mod mode;
pub mod model;
pub mod options;
pub mod queue;
pub mod ticket;

pub use cause::Cause;
pub use ceiling::Ceiling;
pub use class::Class;
pub use kind::Kind;
pub use mode::Mode;
pub use model::Model;
pub use options::Options;
pub use queue::Queue;
pub use ticket::Ticket;
