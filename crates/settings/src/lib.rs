//! The tree of settings: typed values that nodes inherit or override, atomic
//! edits, and the resolved view that the request path reads values from.
//!
//! This crate performs no I/O. `cactusnotch-history` maintains the order of
//! edits.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

mod apply;
mod check;
mod edit;
mod effective;
mod error;
mod id;
mod index;
mod key;
mod kind;
mod node;
mod operation;
pub mod reference;
pub mod resolved;
mod route;
mod shape;
mod spec;
mod table;
mod tree;
mod value;

pub use apply::{apply, replay};
pub use check::faults;
pub use edit::Edit;
pub use effective::{Effective, Listing};
pub use error::Error;
pub use id::Id;
pub use key::Key;
pub use kind::Kind;
pub use node::Node;
pub use operation::Operation;
pub use resolved::Resolved;
pub use route::Route;
pub use shape::{Mismatch, Shape};
pub use spec::{Preset, Spec};
pub use table::KEYS;
pub use tree::Tree;
pub use value::Value;
