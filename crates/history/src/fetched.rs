//! A part of the history, as fetched from the platform.

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

/// A part of the history, as fetched from the platform. It contains no entry
/// whose number had been deleted and used again, so it may be passed on.
#[message]
#[derive(Eq)]
pub struct Fetched {
    /// The snapshot, if the entries alone leave a gap.
    pub snapshot: Option<Box<Stored<Snapshot>>>,
    /// The entries in order.
    pub entries: Vec<Stored<Entry>>,
    /// The version up to which the entries are complete.
    pub version: Version,
}
