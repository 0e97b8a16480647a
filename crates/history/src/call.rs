//! Calls to the platform that decisions ask for, and their replies.

use std::time::Duration;

use cactusnotch_base::number::Revision;
use cactusnotch_objects::object::{Condition, Version};

use crate::{Entry, Snapshot, Stored};

/// A call to the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Call {
    /// Lists the entries written after a version, zero for all of them.
    List {
        /// The version.
        after: Version,
        /// How long to wait for the first one.
        wait: Duration,
    },
    /// Reads up to which revision entries may have been trimmed.
    ReadFloor,
    /// Reads the snapshot.
    ReadSnapshot,
    /// Creates an entry if its number is free.
    Create(Box<Entry>),
    /// Reads one entry.
    ReadEntry(Revision),
    /// Deletes an entry at or below the floor.
    Remove(Revision),
    /// Replaces the snapshot.
    WriteSnapshot(Box<Snapshot>, Condition),
    /// Replaces the floor.
    WriteFloor(Revision, Condition),
}

/// The reply to a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// The entries in order, and the version up to which they are complete.
    Listed {
        /// The entries that could be decoded.
        entries: Vec<Stored<Entry>>,
        /// The version.
        version: Version,
    },
    /// The floor, which is zero as long as nothing was trimmed.
    Floor {
        /// The revision.
        revision: Revision,
        /// The condition under which it is still this one.
        condition: Condition,
    },
    /// The snapshot, if there is one.
    Snapshot {
        /// The snapshot.
        snapshot: Option<Box<Stored<Snapshot>>>,
        /// The condition under which it is still this one.
        condition: Condition,
    },
    /// An entry, if there is one that can be decoded.
    Entry(Option<Box<Entry>>),
    /// A write took effect.
    Done,
    /// A condition did not hold; with the entry that stands in the way.
    Taken(Option<Box<Entry>>),
    /// The call had no effect.
    Failed {
        /// The platform's answer.
        detail: String,
    },
    /// No answer came; a write may have taken effect or may still do so.
    Lost {
        /// The failure of the transport.
        detail: String,
    },
}

/// What comes next: a call, or the result.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step<T> {
    /// A call is to be made and its reply brought back.
    Call(Call),
    /// The work is done.
    Done(T),
}
