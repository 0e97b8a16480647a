//! Decides whether and when a request is retried.
//!
//! [`Retry`] and [`Hedge`] decide for one request; their [`Budget`]s, shared by
//! all requests of an entry, bound the load that repeated attempts add. A
//! [`Deadline`] is passed on with the request and never extends over a hop. The
//! crate does no I/O; time and the random source are passed in.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod backoff;
pub mod budget;
pub mod deadline;
pub mod decision;
pub mod hedge;
pub mod options;
pub mod retry;

pub use backoff::Backoff;
pub use budget::Budget;
pub use deadline::Deadline;
pub use decision::Decision;
pub use hedge::Hedge;
pub use options::Options;
pub use retry::Retry;
