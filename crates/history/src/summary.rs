//! What is kept of an accepted edit for later conflicts.

use cactusnotch_base::number::Revision;
use cactusnotch_derive::message;
use derive_more::Display;

use crate::{Digest, Entry, Touch};

/// What is kept of an accepted edit after its entry has been trimmed.
#[message]
#[derive(Eq, Display)]
#[display("revision {revision} (edit {edit} by {author})")]
pub struct Summary {
    /// The place in the order.
    pub revision: Revision,
    /// The digest of the entry.
    pub digest: Digest,
    /// The identity of the edit.
    pub edit: String,
    /// Who edited.
    pub author: String,
    /// What the edit touched.
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

    /// Returns the parts of `touches` that clash with this edit.
    #[must_use]
    pub fn clashes(&self, touches: &[Touch]) -> Vec<Touch> {
        let is_shared = |touch: &&Touch| self.touches.iter().any(|own| own.clashes(touch));
        touches.iter().filter(is_shared).cloned().collect()
    }
}
