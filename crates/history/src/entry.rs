//! Entries of the order: accepted edits.

use cactusnotch_base::number::Revision;
use cactusnotch_derive::message;
use cactusnotch_objects::object::Path;
use cactusnotch_settings::Edit;

use crate::Digest;

/// The kind of the objects that hold entries.
pub(crate) const KIND: &str = "revision";

/// An edit with its place in the order.
#[message]
#[derive(Eq)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// The place in the order; the first entry has 1.
    pub revision: Revision,
    /// The digest of the entry before.
    pub previous: Digest,
    /// The edit.
    pub edit: Edit,
}

impl Entry {
    /// Returns the digest that the next entry carries.
    #[must_use]
    pub fn digest(&self) -> Digest {
        Digest::of(self)
    }

    /// Returns the path of the object that holds the entry at `revision`.
    #[must_use]
    pub fn path(revision: Revision) -> Path {
        Path::new(KIND, format!("{revision:020}"))
    }
}
