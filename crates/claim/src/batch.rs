//! Batches of claims, each recorded by a single write.

use cactusnotch_derive::{identifier, message};
use uuid::Uuid;

use crate::Record;

/// The unique identifier of a batch. After a write whose reply was lost, the
/// writer looks for it in the log.
#[identifier]
#[derive(Copy)]
pub struct Id {
    /// A random identifier of the process that wrote the batch, new at each
    /// start of the process.
    pub writer: Uuid,
    /// The number of the batch, counted by that writer.
    pub count: u64,
}

/// A batch of claims, recorded by a single write.
#[message]
#[derive(Eq, Hash)]
pub struct Batch {
    /// The unique identifier of the batch.
    pub id: Id,
    /// When the batch was created, in milliseconds since the Unix epoch.
    pub made_ms: u64,
    /// The claims. If several claims name the same key, the first one counts.
    pub records: Vec<Record>,
}

/// A batch as stored in the log.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Entry {
    /// The number of the batch in the log.
    pub number: u64,
    /// The version of the object in the platform.
    pub version: u64,
    /// The batch.
    pub batch: Batch,
}
