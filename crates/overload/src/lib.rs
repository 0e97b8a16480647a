//! Overload control for groups of ranks.
//!
//! The leader of a group limits the number of its running requests to a [`Ceiling`] at which
//! streams stay on time, which a [`Controller`] derives from a [`Model`] of a forward pass.
//! Entries let each [`Class`] of requests fill a part of it: an [`Allowance`] is an entry's
//! share, and a [`Queue`] holds the requests that exceed it. The crate does no I/O; time and
//! the random source are passed in.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod allowance;
pub mod candidate;
pub mod cause;
pub mod ceiling;
pub mod change;
pub mod class;
pub mod conditions;
pub mod controller;
pub mod kind;
pub mod limit;
pub mod mode;
pub mod model;
pub mod occupancy;
pub mod options;
pub mod queue;
pub mod reach;
pub mod ticket;

mod drain;
mod growth;
mod overhead;

pub use allowance::Allowance;
pub use candidate::Candidate;
pub use cause::Cause;
pub use ceiling::Ceiling;
pub use change::Change;
pub use class::Class;
pub use conditions::Conditions;
pub use controller::Controller;
pub use kind::Kind;
pub use limit::Limit;
pub use mode::Mode;
pub use model::Model;
pub use occupancy::Occupancy;
pub use options::Options;
pub use queue::Queue;
pub use reach::Reach;
pub use ticket::Ticket;
