//! The entries of the history, which are accepted edits.

use cactusnotch_base::number::Revision;
use cactusnotch_derive::message;
use cactusnotch_objects::object::Path;
use cactusnotch_settings::Edit;

use crate::Digest;

/// The kind of the objects that store entries.
pub(crate) const KIND: &str = "revision";

/// An edit with its position in the history.
#[message]
#[derive(Eq)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// The position in the history, starting at 1.
    pub revision: Revision,
    /// The digest of the preceding entry.
    pub previous: Digest,
    /// The edit.
    pub edit: Edit,
}

impl Entry {
    /// Returns the digest of this entry, carried by the next one.
    #[must_use]
    pub fn digest(&self) -> Digest {
        Digest::of(self)
    }

    /// Returns the path of the object that stores the entry at `revision`.
    #[must_use]
    pub fn path(revision: Revision) -> Path {
        Path::new(KIND, format!("{revision:020}"))
    }
}
