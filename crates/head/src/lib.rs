//! Checks the heads of HTTP responses beyond what the HTTP library checks.
//!
//! The library takes a body whose transfer coding it doesn't know for one that ends with its
//! connection. Whoever relays such a body without the coding's name passes on other bytes than
//! the endpoint's body.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

mod check;
pub mod fault;
pub mod interim;

pub use check::check;
pub use fault::Fault;
pub use interim::Interim;
