//! Summaries of accepted edits, retained for detecting conflicts.

use cactusnotch_base::number::Revision;
use cactusnotch_derive::message;
use derive_more::Display;

use crate::{Digest, Entry, Touch};

/// The summary of an accepted edit, retained after its entry was deleted.
#[message]
#[derive(Eq, Display)]
#[display("revision {revision} (edit {edit} by {author})")]
pub struct Summary {
    /// The position in the history.
    pub revision: Revision,
    /// The digest of the entry.
    pub digest: Digest,
    /// The identity of the edit.
    pub edit: String,
    /// The author of the edit.
    pub author: String,
    /// The parts of the tree that the edit changed.
    pub touches: Vec<Touch>,
}

impl Summary {
    /// Creates the summary of `entry`.
    #[must_use]
    pub fn new(entry: &Entry) -> Self {
        Self {
            revision: entry.revision,
            digest: entry.digest(),
            edit: entry.edit.id.clone(),
            author: entry.edit.author.clone(),
            touches: Touch::all(&entry.edit),
        }
    }

    /// Returns the parts of `touches` that conflict with this edit.
    #[must_use]
    pub fn conflicts(&self, touches: &[Touch]) -> Vec<Touch> {
        let is_shared = |touch: &&Touch| self.touches.iter().any(|own| own.conflicts_with(touch));
        touches.iter().filter(is_shared).cloned().collect()
    }
}
