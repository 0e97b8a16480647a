//! Checks the heads of HTTP responses beyond what the HTTP library checks.
//!
//! The library takes a body whose transfer coding it doesn't know for one that ends with its
//! connection. Whoever relays such a body without the coding's name passes on other bytes than
//! the endpoint's body.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod fault;
pub mod interim;
pub mod lines;
pub mod stream;
pub mod watch;

mod check;

pub use check::check;
pub use fault::Fault;
pub use interim::Interim;
pub use lines::Lines;
pub use stream::Stream;
pub use watch::Watch;
