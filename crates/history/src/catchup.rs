//! Fetching the part of the history after a revision.

use std::time::Duration;

use cactusnotch_base::number::Revision;
use cactusnotch_objects::object::Version;

use crate::{Call, Fetched, Reply, Step};

/// Fetches the part of the history after a revision, in two calls, or three if
/// the revision is far behind.
///
/// The floor is read after the entries are listed. The number of an entry above
/// that floor was never deleted, so the entry is the only one that ever had this
/// number. An entry at or below the floor may be a late write under a deleted
/// number, and is ignored.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Catchup {
    held: Revision,
    after: Version,
    wait: Duration,
    state: State,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum State {
    Listing,
    ReadingFloor(Fetched),
    ReadingSnapshot(Fetched),
}

impl Catchup {
    /// Creates a catch-up that lists all entries, for a replica at `held`.
    #[must_use]
    pub const fn new(held: Revision) -> Self {
        Self::after(held, Version(0), Duration::ZERO)
    }

    /// Creates a catch-up that lists the entries written after a version, and
    /// waits up to `wait` for the first one.
    #[must_use]
    pub const fn after(held: Revision, after: Version, wait: Duration) -> Self {
        Self {
            held,
            after,
            wait,
            state: State::Listing,
        }
    }

    /// Returns the first call.
    #[must_use]
    pub const fn start(&self) -> Call {
        Call::List {
            after: self.after,
            wait: self.wait,
        }
    }

    /// Handles the reply to the last call. A call without an answer is repeated.
    pub fn step(&mut self, reply: Reply) -> Step<Fetched> {
        match (std::mem::replace(&mut self.state, State::Listing), reply) {
            (State::Listing, Reply::Listed { entries, version }) => {
                let is_watch = self.after > Version(0);
                let has_changes = !is_watch || !entries.is_empty();
                let found = Fetched {
                    snapshot: None,
                    entries,
                    version,
                };
                if !has_changes {
                    return Step::Done(found);
                }
                self.state = State::ReadingFloor(found);
                Step::Call(Call::ReadFloor)
            }
            (State::ReadingFloor(found), Reply::Floor { revision, .. }) => {
                self.exclude_trimmed(found, revision)
            }
            (State::ReadingSnapshot(mut found), Reply::Snapshot { snapshot, .. }) => {
                found.snapshot = snapshot;
                Step::Done(found)
            }
            (state, _) => {
                self.state = state;
                Step::Call(self.pending())
            }
        }
    }

    /// Removes the entries at and below the floor.
    fn exclude_trimmed(&mut self, mut found: Fetched, floor: Revision) -> Step<Fetched> {
        found.entries.retain(|entry| entry.value.revision > floor);
        if floor <= self.held {
            return Step::Done(found);
        }
        self.state = State::ReadingSnapshot(found);
        Step::Call(Call::ReadSnapshot)
    }

    const fn pending(&self) -> Call {
        match self.state {
            State::Listing => self.start(),
            State::ReadingFloor(_) => Call::ReadFloor,
            State::ReadingSnapshot(_) => Call::ReadSnapshot,
        }
    }
}
