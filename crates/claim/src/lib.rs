//! Agreement on the single attempt that holds the key of a non-idempotent
//! request.
//!
//! There are two modes. A key chosen by the caller is claimed in the platform
//! before dispatch: each [`Shard`] collects claims and appends them as one
//! batch to a numbered log. The next number is created only if it is absent,
//! which prevents two writers from granting the same key. A [`Ticket`] is
//! signed in advance and names the only agent that records its use, so it
//! needs no call to the platform. [`Kind`] determines the mode of a key.
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
