//! Declarations of the settings tree, intended for version control.
//!
//! A declaration is one TOML file or a directory of them. [`Declaration`]
//! validates it without a connection, [`Difference`] compares it with a tree,
//! and [`apply`] submits the difference as one edit. Only [`source::read`] reads
//! files.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

mod apply;
mod declaration;
mod difference;
mod fault;
mod parse;
pub mod render;
pub mod source;

pub use apply::{Error, apply};
pub use declaration::{Declaration, Declared};
pub use difference::{Change, Difference, Mismatch, Options};
pub use fault::{Fault, Faults, Place};
pub use source::Source;
