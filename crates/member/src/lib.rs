//! The roster of cactusnotch's processes, their liveness and ranks.
//!
//! The [`Roster`] says who is a member; its record of truth is the platform,
//! one object a process. [`Liveness`] says who can be reached; it chooses
//! whom to talk to and never moves a right to act, which only a lease does.
//! [`Registration`] keeps a process's own record. Nothing here does I/O.
//! `docs/design/membership.md` weighs the ways.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

mod backoff;
mod delta;
mod fingerprint;
mod liveness;
mod options;
pub mod rank;
mod record;
pub mod registration;
mod roster;
mod rumour;

pub use backoff::Backoff;
pub use delta::{Delta, Error};
pub use fingerprint::Fingerprint;
pub use liveness::{Health, Liveness};
pub use options::Options;
pub use record::{Record, Role, State};
pub use registration::Registration;
pub use roster::{Roster, Row};
pub use rumour::{Instance, Rumour, Status};
