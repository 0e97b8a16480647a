//! Estimates of expert popularity and rank speed from late, gappy counts.
//!
//! Each rank reports, with a number, how many tokens each of its replicas was
//! given over a span of steps, which share of the expert's traffic the
//! replica had, and how long the rank itself was busy. The crate does no I/O
//! and reads no clock: its time is the step number, which all ranks share.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod estimate;
pub mod options;
pub mod popularity;
pub mod rank;
pub mod report;
pub mod shape;
pub mod share;

mod cell;
mod decay;
mod source;
mod speed;
mod window;

pub use estimate::Estimate;
pub use options::Options;
pub use popularity::Popularity;
pub use rank::Rank;
pub use report::{Count, Report};
pub use shape::{Cell, Shape};
pub use share::Share;
