//! The commands that a shard issues to its driver.

use cactusnotch_ledger::{Attempt, Link};

use crate::{Answer, Batch};

/// A command of a shard to its driver. At most one `Put` or `List` is in
/// flight at a time.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Command {
    /// Creates a batch under a number unless one exists there.
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
    /// Deletes a batch whose claims have all expired. A failure is harmless.
    Delete {
        /// The number.
        number: u64,
    },
    /// Answers a claim.
    Answer {
        /// The connection from which the claim came.
        link: Link,
        /// The attempt named in the claim.
        attempt: Attempt,
        /// The answer.
        answer: Answer,
    },
}
