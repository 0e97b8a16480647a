//! Leases and fencing numbers based on the platform's conditional updates.
//!
//! A [`Lease`] decides what to read and write and performs no calls itself;
//! [`Driver`] runs it against a [`Store`](cactusnotch_objects::Store). A
//! process acts on its right only with a [`Guard`], which carries the fencing
//! number and the instant at which the right expires. `docs/design/lease.md`
//! gives the argument for why two guards never overlap.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

mod attempt;
pub mod call;
mod driver;
mod guard;
mod lease;
mod options;
mod record;

pub use call::{Answer, Call};
pub use driver::{Driver, Error};
pub use guard::Guard;
pub use lease::Lease;
pub use options::Options;
pub use record::Record;
