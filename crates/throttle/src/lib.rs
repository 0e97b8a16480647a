//! Throttles requests to overloaded endpoints according to their own signals.
//!
//! In its response headers an endpoint announces a rate limit for all entries together
//! ([`Limits`]), a back-off for the receiving entry ([`Backoffs`]), or that it is leaving. An
//! endpoint also registers itself as warming up after a start ([`Warmups`]). The crate does no
//! I/O; time is passed in.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod allotment;
pub mod backoffs;
pub mod limit;
pub mod limits;
pub mod warmups;

mod header;
mod rate;
mod tolerance;

pub use allotment::Allotment;
pub use backoffs::Backoffs;
pub use header::{Header, Headers};
pub use limit::Limit;
pub use limits::Limits;
pub use rate::Rate;
pub use tolerance::Tolerance;
pub use warmups::Warmups;
