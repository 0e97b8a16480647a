//! The state of the order that every process keeps.

use cactusnotch_base::number::Revision;
use cactusnotch_settings::{Edit, Tree, apply, replay};

use crate::{Answer, Digest, Entry, Fetched, Offer, Refusal, Snapshot, Summary, Validation};

/// The entries that are kept for peers at least, once there are that many.
const TAIL: usize = 128;

/// The state of the order in one process. It only goes forward, whatever is
/// offered to it by whom.
#[derive(Debug, Clone)]
pub struct Replica {
    head: Snapshot,
    /// The tree before the first entry of the tail.
    anchor: Tree,
    tail: Vec<Entry>,
}

impl Replica {
    /// Creates the replica of a process that knows nothing yet.
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

    /// Returns the entries that are kept, in order.
    #[must_use]
    pub fn entries(&self) -> &[Entry] {
        &self.tail
    }

    /// Returns what a peer at `revision` lacks: the entries after it, or the
    /// snapshot if they are not all kept; none if the peer lacks nothing.
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

    /// Takes in what is new in `offer`.
    pub fn offer(&mut self, offer: &Offer) -> Answer {
        match offer {
            Offer::Entries(entries) => self.offer_entries(entries),
            Offer::Snapshot(snapshot) => self.offer_snapshot(snapshot),
        }
    }

    /// Takes in what is new of what the platform holds.
    pub fn take(&mut self, fetched: &Fetched) -> Answer {
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
        self.since(before)
    }

    /// Takes in the entries that are new, in order.
    pub fn offer_entries(&mut self, entries: &[Entry]) -> Answer {
        let before = self.revision();
        for entry in entries {
            let answer = self.offer_entry(entry);
            if !answer.is_held() {
                return answer;
            }
        }
        self.since(before)
    }

    /// Takes in the snapshot if it is newer.
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

    /// Judges whether `edit` can follow, and names the edit in its way.
    ///
    /// # Errors
    ///
    /// Why the edit is refused.
    pub fn validate(&self, edit: &Edit) -> Result<Validation, Refusal> {
        self.head.validate(edit).map_err(|refusal| match refusal {
            Refusal::Invalid { source } => match self.culprit(edit) {
                Some(other) => Refusal::Overtaken {
                    other: Box::new(other),
                    source,
                },
                None => Refusal::Invalid { source },
            },
            refusal => refusal,
        })
    }

    fn since(&self, before: Revision) -> Answer {
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
                self.keep(entry);
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

    /// Keeps the entry for peers, and lets half of the entries go when there
    /// are twice as many as needed.
    fn keep(&mut self, entry: &Entry) {
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
    fn culprit(&self, edit: &Edit) -> Option<Summary> {
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
