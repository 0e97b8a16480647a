//! Agreement on the one attempt that holds the key of a non-idempotent
//! request.
//!
//! There are two ways. A key that the caller chose is claimed in the platform
//! before dispatch: each [`Shard`] gathers claims and appends them as one
//! batch to a numbered log, where creating the next number only if it is
//! absent keeps two writers from granting the same key. A [`Ticket`] was
//! signed beforehand and names the one agent that remembers it, so it needs no
//! call to the platform at all. [`Kind`] tells which way a key goes.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

mod answer;
pub mod batch;
pub mod calls;
mod claim;
mod command;
pub mod event;
pub mod kind;
mod log;
mod options;
pub mod owner;
mod record;
mod shard;
pub mod ticket;

pub use answer::Answer;
pub use batch::Batch;
pub use claim::Claim;
pub use command::Command;
pub use event::Event;
pub use kind::Kind;
pub use options::Options;
pub use record::Record;
pub use shard::Shard;
pub use ticket::{Signer, Ticket};
