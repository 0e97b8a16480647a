//! The calls that a lease asks for, and their answers.

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

/// The lease's object at some version, or its absence.
#[derive(Debug, Clone, PartialEq)]
pub struct Found {
    /// The version of the object.
    pub version: Version,
    /// The value of the object.
    pub record: Record,
}

/// How a call ended.
#[derive(Debug, Clone, PartialEq)]
pub enum Answer {
    /// A read brought the object, or its absence.
    Read(Option<Found>),
    /// A write took effect.
    Written(Version),
    /// The condition of a write did not hold; the object as it stands.
    Conflict(Option<Found>),
    /// The call had no effect.
    Refused,
    /// Nothing is known; a write may have taken effect, or may yet.
    Unanswered,
}

/// The number of a call, which its answer brings back.
#[record]
#[derive(Copy)]
pub struct Ticket(pub(crate) u64);
