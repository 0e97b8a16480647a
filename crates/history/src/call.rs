//! The calls to the platform that the decision code issues, and their replies.

use std::time::Duration;

use cactusnotch_base::number::Revision;
use cactusnotch_objects::object::{Condition, Version};

use crate::{Entry, Snapshot, Stored};

/// A call to the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Call {
    /// Lists the entries written after a version; zero lists all entries.
    List {
        /// The version.
        after: Version,
        /// How long to wait for the first entry.
        wait: Duration,
    },
    /// Reads the floor, the revision up to which entries may have been deleted.
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
    /// The listed entries, sorted by revision, and the version up to which they
    /// are complete.
    Listed {
        /// The entries that could be decoded.
        entries: Vec<Stored<Entry>>,
        /// The version.
        version: Version,
    },
    /// The floor, which is zero until entries are deleted.
    Floor {
        /// The revision.
        revision: Revision,
        /// The condition for a write: the floor must be unchanged.
        condition: Condition,
    },
    /// The snapshot, if it exists.
    Snapshot {
        /// The snapshot.
        snapshot: Option<Box<Stored<Snapshot>>>,
        /// The condition for a write: the snapshot must be unchanged.
        condition: Condition,
    },
    /// An entry, if it exists and can be decoded.
    Entry(Option<Box<Entry>>),
    /// A write took effect.
    Done,
    /// A condition was not met; with the existing entry, if it can be decoded.
    Taken(Option<Box<Entry>>),
    /// The call had no effect.
    Failed {
        /// The platform's answer.
        detail: String,
    },
    /// No answer arrived; a write may have taken effect or may still do so.
    Lost {
        /// The error of the transport.
        detail: String,
    },
}

/// The next step: a call, or the result.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step<T> {
    /// The driver must perform the call and pass on its reply.
    Call(Call),
    /// The result; no further call is needed.
    Done(T),
}
