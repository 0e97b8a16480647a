//! Agreement of a group's ranks on the expert map of every step.
//!
//! The ranks of a group advance in lock-step and must use one expert map in
//! each step. This crate decides when a group goes over to another map; it
//! does no I/O. [`rank::Member`] is the part of each rank's agent and
//! [`coordinator::Coordinator`] the part of whichever agent holds the group's
//! lease. Both take events and return commands, and neither decides alone:
//! the outcome of a proposal is a function of the ranks' votes, and the
//! lock-step itself acknowledges it. `docs/design/expert-map-agreement.md`
//! has the protocol and its proof.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod ballot;
pub mod coordinator;
pub mod engine;
pub mod lease;
pub mod map;
pub mod message;
pub mod options;
pub mod proposal;
pub mod rank;
pub mod view;

pub use ballot::Ballot;
pub use lease::Lease;
pub use map::{Map, Switch};
pub use message::{Message, Peer};
pub use options::Options;
pub use proposal::Proposal;
pub use view::{Rank, View};
