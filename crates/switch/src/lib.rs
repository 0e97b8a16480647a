//! Agreement of a group's ranks on the expert map of every step.
//!
//! The ranks of a group advance in lock-step and must use the same expert map in
//! each step. This crate decides when a group switches to another map; it does
//! no I/O. [`rank::Member`] is the state machine of each rank's agent and
//! [`coordinator::Coordinator`] that of the agent that holds the group's lease.
//! Both take events and return commands. Neither decides alone: the outcome of a
//! proposal is a function of the ranks' votes, and a rank that starts the step
//! before the switch thereby acknowledges the outcome to the others.
//! `docs/design/expert-map-agreement.md` has the protocol and its proof.
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
