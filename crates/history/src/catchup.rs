//! Bringing a replica up to date from the platform.

use std::time::Duration;

use cactusnotch_base::number::Revision;
use cactusnotch_platform::object::Version;

use crate::{Answer, Call, Entry, Replica, Reply, Step};

/// Brings a replica up to date, in two calls, or three if it is far behind.
///
/// The floor is read after the entries were listed. An entry above that floor
/// was never trimmed before, so that it is the only one of its number there
/// ever was; entries at or below it prove nothing and are left out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Catchup {
    after: Version,
    wait: Duration,
    state: State,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum State {
    Listing,
    ReadingFloor { entries: Vec<Entry> },
    ReadingSnapshot { entries: Vec<Entry> },
}

impl Catchup {
    /// Creates the work of listing all entries.
    #[must_use]
    pub const fn new() -> Self {
        Self::after(Version(0), Duration::ZERO)
    }

    /// Creates the work of listing the entries written after a version, and
    /// of waiting for the first one.
    #[must_use]
    pub const fn after(after: Version, wait: Duration) -> Self {
        Self {
            after,
            wait,
            state: State::Listing,
        }
    }

    /// Returns the call that is waited for first.
    #[must_use]
    pub const fn start(&self) -> Call {
        Call::List {
            after: self.after,
            wait: self.wait,
        }
    }

    /// Tells whether only what is newer than a version is listed.
    #[must_use]
    pub fn is_watch(&self) -> bool {
        self.after > Version(0)
    }

    /// Takes in the reply to the last call. A call without an answer is made
    /// again.
    pub fn step(&mut self, replica: &mut Replica, reply: Reply) -> Step<Answer> {
        match (std::mem::replace(&mut self.state, State::Listing), reply) {
            (State::Listing, Reply::Listed { entries, .. }) => {
                self.state = State::ReadingFloor { entries };
                Step::Call(Call::ReadFloor)
            }
            (State::ReadingFloor { entries }, Reply::Floor { revision, .. }) => {
                self.compare(replica, entries, revision)
            }
            (State::ReadingSnapshot { entries }, Reply::Snapshot { snapshot, .. }) => {
                let Some(snapshot) = snapshot else {
                    let from = replica.revision().next();
                    return Step::Done(Answer::Gap { from });
                };
                let answer = replica.offer_snapshot(&snapshot);
                if !answer.is_held() {
                    return Step::Done(answer);
                }
                let rest = replica.offer_entries(&entries);
                Step::Done(if rest == Answer::Stale { answer } else { rest })
            }
            (state, _) => {
                self.state = state;
                Step::Call(self.pending())
            }
        }
    }

    fn compare(
        &mut self,
        replica: &mut Replica,
        mut entries: Vec<Entry>,
        floor: Revision,
    ) -> Step<Answer> {
        entries.retain(|entry| entry.revision > floor);
        if floor > replica.revision() {
            self.state = State::ReadingSnapshot { entries };
            return Step::Call(Call::ReadSnapshot);
        }
        Step::Done(replica.offer_entries(&entries))
    }

    const fn pending(&self) -> Call {
        match self.state {
            State::Listing => self.start(),
            State::ReadingFloor { .. } => Call::ReadFloor,
            State::ReadingSnapshot { .. } => Call::ReadSnapshot,
        }
    }
}

impl Default for Catchup {
    fn default() -> Self {
        Self::new()
    }
}
