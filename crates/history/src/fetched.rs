//! What the platform was found to hold of the order.

use cactusnotch_derive::message;
use cactusnotch_objects::object::Version;

use crate::{Entry, Snapshot};

/// A value with the version at which it was written.
#[message]
#[derive(Eq)]
pub struct Stored<T> {
    /// The value.
    pub value: T,
    /// The version of its last write.
    pub version: Version,
}

/// What the platform was found to hold of the order: nothing in it is a
/// leftover of a number that was trimmed, so that it may be passed on.
#[message]
#[derive(Eq)]
pub struct Fetched {
    /// The snapshot, if entries are missing without it.
    pub snapshot: Option<Box<Stored<Snapshot>>>,
    /// The entries in order.
    pub entries: Vec<Stored<Entry>>,
    /// The version up to which the entries are complete.
    pub version: Version,
}
