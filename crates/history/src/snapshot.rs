//! The state after a revision.

use cactusnotch_base::number::Revision;
use cactusnotch_derive::message;
use cactusnotch_objects::object::Path;
use cactusnotch_settings::{Edit, Tree, apply};
use serde::Serialize;

use crate::{Digest, Entry, Refusal, Summary, Touch};

/// The most summaries that are kept.
const RECENT_LIMIT: usize = 1_024;
/// The most bytes that the kept summaries take.
const RECENT_BYTES: usize = 200_000;
/// The most bytes of an edit's touched parts.
const TOUCHES_BYTES: usize = 100_000;
/// The most bytes of an edit.
const EDIT_BYTES: usize = 800_000;
/// The most bytes of a tree. With the summaries it stays under the platform's
/// limit of a megabyte a value.
const TREE_BYTES: usize = 700_000;
/// The most bytes of an author and a reason.
const LINE_BYTES: usize = 1_024;

/// The state after a revision: the tree, and summaries of the last edits.
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
    /// Summaries of the last edits in order.
    pub recent: Vec<Summary>,
}

/// What becomes of an edit that is not refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Validation {
    /// The edit is in the order already.
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

    /// Returns the path of the object that holds the snapshot.
    #[must_use]
    pub fn path() -> Path {
        Path::new("snapshot", "settings")
    }

    /// Judges whether `edit` can follow. The result depends on nothing but
    /// the snapshot and the edit, so that all processes agree on it.
    ///
    /// # Errors
    ///
    /// Why the edit is refused.
    pub fn validate(&self, edit: &Edit) -> Result<Validation, Refusal> {
        if let Some(summary) = self.accepted(&edit.id) {
            return Ok(Validation::Accepted(summary.revision));
        }
        let (entry, _) = self.next(edit)?;
        Ok(Validation::Next(Box::new(entry)))
    }

    /// Returns the state after `entry`, which has to be a valid successor.
    ///
    /// # Errors
    ///
    /// Why the entry's edit is refused. Its number and chaining are the
    /// caller's to check.
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

    /// Returns the summary of the edit with identity `id`, if it is kept.
    #[must_use]
    pub fn accepted(&self, id: &str) -> Option<&Summary> {
        self.recent.iter().find(|summary| summary.edit == id)
    }

    /// Returns the summary of `revision`, if it is kept.
    #[must_use]
    pub fn summary(&self, revision: Revision) -> Option<&Summary> {
        let at = self.recent.binary_search_by_key(&revision, |s| s.revision);
        at.ok().map(|at| &self.recent[at])
    }

    /// Returns the oldest base that edits can be compared with.
    #[must_use]
    pub fn oldest_base(&self) -> Revision {
        match self.recent.first() {
            Some(first) => Revision(first.revision.0 - 1),
            None => self.revision,
        }
    }

    /// Tells whether the parts of a snapshot from elsewhere fit together.
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
            let shared = other.clashes(touches);
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
