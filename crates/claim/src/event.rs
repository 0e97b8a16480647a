//! The events that drive a shard.

use cactusnotch_ledger::Link;

use crate::Claim;
use crate::batch::Entry;

/// The result of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Written {
    /// The batch was created at this version of the platform.
    Created(u64),
    /// The number is already in use; nothing was written.
    Conflict,
    /// The platform refused the call; nothing was written.
    Refused,
    /// No answer arrived; the batch may or may not have been created.
    Unanswered,
}

/// An event that drives a shard.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Event {
    /// This entry or a peer claims a key.
    Ask {
        /// The connection for the answer, numbered by the driver.
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
        /// The entries written since the requested version.
        entries: Vec<Entry>,
    },
    /// A [`Command::List`](crate::Command::List) failed.
    Unlisted,
    /// The time returned by [`Shard::wake`](crate::Shard::wake) is reached.
    Tick,
}
