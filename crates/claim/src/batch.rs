//! Claims that are recorded by one write.

use cactusnotch_derive::{identifier, message};
use uuid::Uuid;

use crate::Record;

/// The unique name of a batch, by which a lost reply is settled.
#[identifier]
#[derive(Copy)]
pub struct Id {
    /// A random name of the process that wrote the batch, for one life of it.
    pub writer: Uuid,
    /// The count of batches of that writer.
    pub count: u64,
}

/// Claims that are recorded by one write.
#[message]
#[derive(Eq, Hash)]
pub struct Batch {
    /// The unique name of the batch.
    pub id: Id,
    /// When the batch was made, in milliseconds since the Unix epoch.
    pub made_ms: u64,
    /// The claims; of several for one key the first one counts.
    pub records: Vec<Record>,
}

/// A batch as it stands in the log.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Entry {
    /// The number of the batch in the log.
    pub number: u64,
    /// The platform's version of the object.
    pub version: u64,
    /// The batch.
    pub batch: Batch,
}
