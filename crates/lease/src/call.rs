//! The calls that a lease requires, and their answers.

use cactusnotch_derive::record;
use cactusnotch_objects::object::{Condition, Version};

use crate::record::Record;

/// A call to the platform for the lease's object.
#[derive(Debug, Clone, PartialEq)]
pub enum Call {
    /// Read the object.
    Get,
    /// Write the object if the condition holds.
    Put {
        /// The value to write.
        record: Record,
        /// The condition for the write.
        condition: Condition,
    },
}

/// The lease's object at some version.
#[derive(Debug, Clone, PartialEq)]
pub struct Found {
    /// The version of the object.
    pub version: Version,
    /// The value of the object.
    pub record: Record,
}

/// The outcome of a call.
#[derive(Debug, Clone, PartialEq)]
pub enum Answer {
    /// The result of a read: the object, or its absence.
    Read(Option<Found>),
    /// A write took effect.
    Written(Version),
    /// The condition of a write did not hold; contains the present object.
    Conflict(Option<Found>),
    /// The call had no effect.
    Refused,
    /// The outcome is unknown; a write may have taken effect, or may do so
    /// later.
    Unanswered,
}

/// The number of a call, with which its answer is matched.
#[record]
#[derive(Copy)]
pub struct Ticket(pub(crate) u64);
