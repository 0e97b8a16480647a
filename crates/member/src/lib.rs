//! The roster of cactusnotch's processes, their liveness and ranks.
//!
//! The [`Roster`] lists the members. Its authoritative copy is in the platform,
//! one object per process. [`Liveness`] tracks which processes are reachable; it
//! selects communication partners and never transfers exclusive rights, which
//! only leases grant. [`Registration`] maintains a process's own record. This
//! crate performs no I/O. `docs/design/membership.md` compares the
//! alternatives.
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
