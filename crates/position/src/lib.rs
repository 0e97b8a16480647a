//! Positions in the order of a store's changes, over the eras of the store.
//!
//! A store may come back from a copy some seconds old. What it had acknowledged since is gone,
//! and its revisions are given out again for other changes, so that a revision means nothing
//! without the era in which it was read.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod era;
pub mod eras;
pub mod position;
pub mod progress;

pub use era::Era;
pub use eras::Eras;
pub use position::Position;
pub use progress::Progress;
