//! Estimates of expert popularity and rank speed from delayed, incomplete counts.
//!
//! Each numbered report of a rank has the tokens of each of its replicas over a
//! span of steps, the replica's share of the expert's traffic, and the time for
//! which the rank was busy. The crate does no I/O and reads no clock: its time is
//! the step number, which all ranks share.
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
