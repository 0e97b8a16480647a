//! Client of the platform's object API: versions, conditional updates and
//! watches.
//!
//! [`Store`] is the interface that the rest of the workspace uses, and
//! [`http::Client`] speaks the protocol written down in `docs/PLATFORM.md`.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod http;
pub mod object;
pub mod store;

pub use object::Object;
pub use store::Store;
