//! Positions in the sequence of a store's changes, over the eras of the store.
//!
//! A store may be restored from a copy that is some seconds old. The changes that it had
//! acknowledged since are lost, and their revisions are assigned again to other changes. A
//! revision is therefore meaningful only together with the era in which it was read.
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
