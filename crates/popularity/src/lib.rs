//! Estimates of expert popularity and rank speed from late, gappy counts.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod rank;
pub mod shape;

pub use rank::Rank;
pub use shape::{Cell, Shape};
