//! Edits: lists of operations that an operator submits together.

use cactusnotch_base::number::Revision;
use cactusnotch_derive::message;
use uuid::Uuid;

use crate::Operation;

/// A list of operations that take effect together or not at all.
#[message]
#[derive(Eq)]
#[serde(deny_unknown_fields)]
pub struct Edit {
    /// The identity of the edit: a UUID as text, the same in each attempt to
    /// submit it.
    pub id: String,
    /// The author.
    pub author: String,
    /// The reason for the edit.
    pub reason: String,
    /// The revision that the edit is based on.
    pub base: Revision,
    /// The operations in order.
    pub operations: Vec<Operation>,
}

impl Edit {
    /// Creates an edit with a new time-ordered identity.
    pub fn new(
        author: impl Into<String>,
        reason: impl Into<String>,
        base: Revision,
        operations: Vec<Operation>,
    ) -> Self {
        Self {
            id: Uuid::now_v7().to_string(),
            author: author.into(),
            reason: reason.into(),
            base,
            operations,
        }
    }
}
