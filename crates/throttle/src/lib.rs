//! Decides how many requests endpoints in need get, by what they say of themselves.
//!
//! An endpoint says in the heads of its answers how many requests a second it takes from all
//! senders together ([`Limits`]), that it wants none from one of them for a while ([`Backoffs`]), or
//! that it leaves; and it registers itself as cold ([`Warmups`]). The crate does no I/O; time is passed in.
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
