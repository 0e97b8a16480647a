//! Client of the platform's object API: versions, conditional updates and
//! watches.
//!
//! [`Store`] is the interface that the other crates use, and [`http::Client`]
//! implements the protocol of `docs/PLATFORM.md`.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod http;
pub mod object;
pub mod store;

pub use object::Object;
pub use store::Store;
