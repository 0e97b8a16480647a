//! What a shard is told.

use cactusnotch_ledger::Link;

use crate::Claim;
use crate::batch::Entry;

/// How a write ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Written {
    /// The batch was created, at this version of the platform.
    Created(u64),
    /// The number was taken; nothing was written.
    Conflict,
    /// The platform refused the call; nothing was written.
    Refused,
    /// No answer came; the batch may or may not have been created.
    Unanswered,
}

/// What a shard is told.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Event {
    /// An entry, this one or a peer, claims a key.
    Ask {
        /// Where the answer goes; the driver chooses the number.
        link: Link,
        /// The claim.
        claim: Claim,
    },
    /// The answer to [`Command::Put`](crate::Command::Put).
    Put(Written),
    /// The answer to [`Command::List`](crate::Command::List).
    Listed {
        /// The version up to which the entries are complete.
        version: u64,
        /// The entries written since the version that was asked for.
        entries: Vec<Entry>,
    },
    /// A [`Command::List`](crate::Command::List) failed.
    Unlisted,
    /// The time that [`Shard::wake`](crate::Shard::wake) told has come.
    Tick,
}
