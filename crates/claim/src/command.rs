//! What a shard wants done.

use cactusnotch_ledger::{Attempt, Link};

use crate::{Answer, Batch};

/// What a shard wants done. At most one of `Put` and `List` is out at a time.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Command {
    /// Creates a batch under a number if there is none.
    Put {
        /// The number.
        number: u64,
        /// The batch.
        batch: Batch,
    },
    /// Lists the batches written after a version; zero lists all.
    List {
        /// The version.
        after: u64,
    },
    /// Deletes a batch that is older than keys are remembered; a failure does
    /// no harm.
    Delete {
        /// The number.
        number: u64,
    },
    /// Answers a claim.
    Answer {
        /// Where the claim came from.
        link: Link,
        /// The attempt that the claim named.
        attempt: Attempt,
        /// The answer.
        answer: Answer,
    },
}
