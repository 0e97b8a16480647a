//! The state of the settings after a revision.

use cactusnotch_base::number::Revision;
use cactusnotch_derive::message;
use cactusnotch_objects::object::Path;
use cactusnotch_settings::{Edit, Tree, apply};
use serde::Serialize;

use crate::{Digest, Entry, Refusal, Summary, Touch};

/// The maximum number of retained summaries.
const RECENT_LIMIT: usize = 1_024;
/// The maximum size of the retained summaries in bytes.
const RECENT_BYTES: usize = 200_000;
/// The maximum size of the list of parts changed by an edit, in bytes.
const TOUCHES_BYTES: usize = 100_000;
/// The maximum size of an edit in bytes.
const EDIT_BYTES: usize = 800_000;
/// The maximum size of a tree in bytes. Together with the summaries it stays
/// below the platform's limit of one megabyte per value.
const TREE_BYTES: usize = 700_000;
/// The maximum size of an author or a reason, in bytes.
const LINE_BYTES: usize = 1_024;

/// The state after a revision: the tree, and summaries of the latest edits.
#[message]
#[derive(Eq)]
#[serde(deny_unknown_fields)]
pub struct Snapshot {
    /// The revision.
    pub revision: Revision,
    /// The digest of its entry.
    pub digest: Digest,
    /// The tree.
    pub tree: Tree,
    /// Summaries of the latest edits, in order.
    pub recent: Vec<Summary>,
}

/// The result of validating an edit that is not refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Validation {
    /// The edit is already in the history.
    Accepted(Revision),
    /// The edit can be the next entry.
    Next(Box<Entry>),
}

impl Snapshot {
    /// Returns the state before the first revision.
    #[must_use]
    pub fn genesis() -> Self {
        Self {
            revision: Revision(0),
            digest: Digest::genesis(),
            tree: Tree::new(),
            recent: Vec::new(),
        }
    }

    /// Returns the path of the object that stores the snapshot.
    #[must_use]
    pub fn path() -> Path {
        Path::new("snapshot", "settings")
    }

    /// Checks whether `edit` can be the next entry. The result depends only on
    /// the snapshot and the edit, so all processes agree on it.
    ///
    /// # Errors
    ///
    /// Returns the reason for refusing the edit.
    pub fn validate(&self, edit: &Edit) -> Result<Validation, Refusal> {
        if let Some(summary) = self.accepted(&edit.id) {
            return Ok(Validation::Accepted(summary.revision));
        }
        let (entry, _) = self.next(edit)?;
        Ok(Validation::Next(Box::new(entry)))
    }

    /// Returns the state after `entry`. The caller must check the revision and
    /// the preceding digest of the entry.
    ///
    /// # Errors
    ///
    /// Returns the reason for refusing the edit of the entry.
    pub(crate) fn follow(&self, entry: &Entry) -> Result<Self, Refusal> {
        let (_, tree) = self.next(&entry.edit)?;
        let summary = Summary::new(entry);
        let mut recent = self.recent.clone();
        let digest = summary.digest.clone();
        recent.push(summary);
        trim(&mut recent);
        Ok(Self {
            revision: entry.revision,
            digest,
            tree,
            recent,
        })
    }

    /// Returns the summary of the edit with identity `id`, if it is retained.
    #[must_use]
    pub fn accepted(&self, id: &str) -> Option<&Summary> {
        self.recent.iter().find(|summary| summary.edit == id)
    }

    /// Returns the summary of `revision`, if it is retained.
    #[must_use]
    pub fn summary(&self, revision: Revision) -> Option<&Summary> {
        let at = self.recent.binary_search_by_key(&revision, |s| s.revision);
        at.ok().map(|at| &self.recent[at])
    }

    /// Returns the oldest base for which conflicts can be detected.
    #[must_use]
    pub fn oldest_base(&self) -> Revision {
        match self.recent.first() {
            Some(first) => Revision(first.revision.0 - 1),
            None => self.revision,
        }
    }

    /// Returns whether a received snapshot is consistent: its summaries have
    /// consecutive revisions and end with its own digest.
    #[must_use]
    pub fn is_consistent(&self) -> bool {
        let numbers = self.recent.iter().rev().map(|summary| summary.revision.0);
        let is_dense = numbers.eq((0..=self.revision.0).rev().take(self.recent.len()));
        let last = self.recent.last().map(|summary| &summary.digest);
        let is_genesis = self.revision == Revision(0) && *self == Self::genesis();
        is_genesis || (is_dense && last == Some(&self.digest))
    }

    fn next(&self, edit: &Edit) -> Result<(Entry, Tree), Refusal> {
        let touches = Touch::all(edit);
        check_size("the author", edit.author.len(), LINE_BYTES)?;
        check_size("the reason", edit.reason.len(), LINE_BYTES)?;
        check_size("the edit", bytes(edit), EDIT_BYTES)?;
        check_size("what the edit touches", bytes(&touches), TOUCHES_BYTES)?;
        self.check_base(edit)?;
        self.check_conflicts(edit.base, &touches)?;
        let tree = apply(&self.tree, edit).map_err(|source| Refusal::Invalid { source })?;
        check_size("the tree", bytes(&tree), TREE_BYTES)?;
        let entry = Entry {
            revision: self.revision.next(),
            previous: self.digest.clone(),
            edit: edit.clone(),
        };
        Ok((entry, tree))
    }

    fn check_base(&self, edit: &Edit) -> Result<(), Refusal> {
        let (base, head, oldest) = (edit.base, self.revision, self.oldest_base());
        if base > head {
            return Err(Refusal::Ahead { base, head });
        }
        if base < oldest {
            return Err(Refusal::Expired { base, oldest });
        }
        Ok(())
    }

    fn check_conflicts(&self, base: Revision, touches: &[Touch]) -> Result<(), Refusal> {
        let newer = self.recent.iter().rev().take_while(|s| s.revision > base);
        for other in newer {
            let shared = other.conflicts(touches);
            if !shared.is_empty() {
                return Err(Refusal::Conflict {
                    other: Box::new(other.clone()),
                    shared,
                });
            }
        }
        Ok(())
    }
}

fn trim(recent: &mut Vec<Summary>) {
    let mut total = 0;
    let kept = recent
        .iter()
        .rev()
        .take(RECENT_LIMIT)
        .take_while(|summary| {
            total += bytes(summary);
            total <= RECENT_BYTES
        })
        .count();
    recent.drain(..recent.len() - kept);
}

fn check_size(what: &'static str, bytes: usize, limit: usize) -> Result<(), Refusal> {
    if bytes > limit {
        return Err(Refusal::TooLarge { what, bytes, limit });
    }
    Ok(())
}

fn bytes(value: &impl Serialize) -> usize {
    serde_json::to_vec(value).map_or(usize::MAX, |text| text.len())
}
