//! Decides how many requests endpoints in need get, by what they say of themselves.
//!
//! An endpoint says in the heads of its answers how many requests a second it takes from all
//! senders together ([`Limits`]), that it wants none from one of them for a while ([`Rests`]), or
//! that it leaves; and it registers itself as cold ([`Cold`]). The crate does no I/O; time is passed in.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod allotment;
pub mod cold;
pub mod limit;
pub mod limits;
pub mod rests;

mod rate;
mod statement;
mod tolerance;

pub use allotment::Allotment;
pub use cold::Cold;
pub use limit::Limit;
pub use limits::Limits;
pub use rate::Rate;
pub use rests::Rests;
pub use statement::{Stated, Statement};
pub use tolerance::Tolerance;
