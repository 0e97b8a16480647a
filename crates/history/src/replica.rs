//! The state of the history in a process.

use cactusnotch_base::number::Revision;
use cactusnotch_settings::{Edit, Tree, apply, replay};

use crate::{Answer, Digest, Entry, Fetched, Offer, Refusal, Snapshot, Summary, Validation};

/// The minimum number of entries retained for peers, once that many exist.
const TAIL: usize = 128;

/// The state of the history in a process. Its revision never decreases,
/// regardless of what is offered to it.
#[derive(Debug, Clone)]
pub struct Replica {
    head: Snapshot,
    /// The tree before the first entry of the tail.
    anchor: Tree,
    tail: Vec<Entry>,
}

impl Replica {
    /// Creates an empty replica.
    #[must_use]
    pub fn new() -> Self {
        let head = Snapshot::genesis();
        Self {
            anchor: head.tree.clone(),
            head,
            tail: Vec::new(),
        }
    }

    /// Returns the newest revision.
    #[must_use]
    pub const fn revision(&self) -> Revision {
        self.head.revision
    }

    /// Returns the digest of the newest entry.
    #[must_use]
    pub const fn digest(&self) -> &Digest {
        &self.head.digest
    }

    /// Returns the tree after the newest revision.
    #[must_use]
    pub const fn tree(&self) -> &Tree {
        &self.head.tree
    }

    /// Returns the state after the newest revision.
    #[must_use]
    pub const fn snapshot(&self) -> &Snapshot {
        &self.head
    }

    /// Returns the retained entries, in order.
    #[must_use]
    pub fn entries(&self) -> &[Entry] {
        &self.tail
    }

    /// Returns what a peer at `revision` is missing: the entries after it, or the
    /// snapshot if some of them are no longer retained, or `None` if nothing is
    /// missing.
    #[must_use]
    pub fn after(&self, revision: Revision) -> Option<Offer> {
        if revision >= self.revision() {
            return None;
        }
        let first = self.tail.first().map(|entry| entry.revision);
        if first.is_some_and(|first| first <= revision.next()) {
            let start = self.tail.partition_point(|e| e.revision <= revision);
            return Some(Offer::Entries(self.tail[start..].to_vec()));
        }
        Some(Offer::Snapshot(Box::new(self.head.clone())))
    }

    /// Applies the new part of `offer`.
    pub fn offer(&mut self, offer: &Offer) -> Answer {
        match offer {
            Offer::Entries(entries) => self.offer_entries(entries),
            Offer::Snapshot(snapshot) => self.offer_snapshot(snapshot),
        }
    }

    /// Applies the new part of what was fetched from the platform.
    pub fn apply(&mut self, fetched: &Fetched) -> Answer {
        let before = self.revision();
        if let Some(snapshot) = &fetched.snapshot {
            let answer = self.offer_snapshot(&snapshot.value);
            if !answer.is_held() {
                return answer;
            }
        }
        for entry in &fetched.entries {
            let answer = self.offer_entry(&entry.value);
            if !answer.is_held() {
                return answer;
            }
        }
        self.answer_since(before)
    }

    /// Applies the new entries, in order.
    pub fn offer_entries(&mut self, entries: &[Entry]) -> Answer {
        let before = self.revision();
        for entry in entries {
            let answer = self.offer_entry(entry);
            if !answer.is_held() {
                return answer;
            }
        }
        self.answer_since(before)
    }

    /// Applies the snapshot if it is newer.
    pub fn offer_snapshot(&mut self, snapshot: &Snapshot) -> Answer {
        let at = snapshot.revision;
        if !snapshot.is_consistent() {
            return Answer::Inconsistent { at };
        }
        if at <= self.revision() {
            return self.compare(at, &snapshot.digest);
        }
        let own = snapshot.summary(self.revision());
        if own.is_some_and(|own| own.digest != self.head.digest) {
            return Answer::Forked {
                at: self.revision(),
            };
        }
        self.head = snapshot.clone();
        self.anchor = snapshot.tree.clone();
        self.tail.clear();
        Answer::Applied { to: at }
    }

    /// Checks whether `edit` can be the next entry.
    ///
    /// # Errors
    ///
    /// Returns the reason for refusing the edit, with the earlier edit that made
    /// it invalid, if any.
    pub fn validate(&self, edit: &Edit) -> Result<Validation, Refusal> {
        self.head.validate(edit).map_err(|refusal| match refusal {
            Refusal::Invalid { source } => match self.invalidating_edit(edit) {
                Some(other) => Refusal::Overtaken {
                    other: Box::new(other),
                    source,
                },
                None => Refusal::Invalid { source },
            },
            refusal => refusal,
        })
    }

    fn answer_since(&self, before: Revision) -> Answer {
        if self.revision() == before {
            return Answer::Stale;
        }
        Answer::Applied {
            to: self.revision(),
        }
    }

    fn offer_entry(&mut self, entry: &Entry) -> Answer {
        let next = self.revision().next();
        if entry.revision < next {
            return self.compare(entry.revision, &entry.digest());
        }
        if entry.revision > next {
            return Answer::Gap { from: next };
        }
        if entry.previous != self.head.digest {
            return Answer::Forked { at: next };
        }
        if self.head.accepted(&entry.edit.id).is_some() {
            return Answer::Forked { at: next };
        }
        match self.head.follow(entry) {
            Ok(head) => {
                self.head = head;
                self.retain(entry);
                Answer::Applied { to: next }
            }
            Err(refusal) => Answer::Invalid { at: next, refusal },
        }
    }

    fn compare(&self, at: Revision, digest: &Digest) -> Answer {
        match self.head.summary(at) {
            Some(own) if own.digest != *digest => Answer::Forked { at },
            _ => Answer::Stale,
        }
    }

    /// Retains the entry for peers, and drops half of the entries when there are
    /// twice as many as needed.
    fn retain(&mut self, entry: &Entry) {
        self.tail.push(entry.clone());
        if self.tail.len() < 2 * TAIL {
            return;
        }
        let old = self.tail[..TAIL].iter().map(|entry| &entry.edit);
        if let Ok(anchor) = replay(&self.anchor, old) {
            self.anchor = anchor;
            self.tail.drain(..TAIL);
        }
    }

    /// Returns the first edit after the base of `edit` that made it invalid.
    fn invalidating_edit(&self, edit: &Edit) -> Option<Summary> {
        let mut tree = self.anchor.clone();
        let mut was_valid = false;
        for entry in &self.tail {
            if entry.revision > edit.base {
                was_valid = was_valid || apply(&tree, edit).is_ok();
            }
            tree = apply(&tree, &entry.edit).ok()?;
            if was_valid && apply(&tree, edit).is_err() {
                return self.head.summary(entry.revision).cloned();
            }
        }
        None
    }
}

impl Default for Replica {
    fn default() -> Self {
        Self::new()
    }
}
