//! The renewal of the snapshot and the deletion of older entries.

use std::time::Duration;

use cactusnotch_base::number::Revision;
use cactusnotch_objects::object::{Condition, Version};

use crate::{Call, Options, Replica, Reply, Snapshot, Step};

/// Renews the snapshot, then raises the floor, then deletes the entries at and
/// below the floor. Each step starts only after the preceding one took effect.
#[derive(Debug, Clone)]
pub struct Compaction {
    snapshot: Box<Snapshot>,
    options: Options,
    state: State,
}

#[derive(Debug, Clone)]
enum State {
    CheckingFloor,
    ReadingSnapshot,
    WritingSnapshot,
    ReadingFloor(Revision),
    WritingFloor(Revision),
    Listing(Revision),
    Removing(Vec<Revision>),
}

impl Compaction {
    /// Creates a compaction up to the newest revision of `replica`.
    #[must_use]
    pub fn new(replica: &Replica, options: &Options) -> Self {
        Self {
            snapshot: Box::new(replica.snapshot().clone()),
            options: *options,
            state: State::CheckingFloor,
        }
    }

    /// Returns the first call.
    #[must_use]
    pub const fn start(&self) -> Call {
        Call::ReadFloor
    }

    /// Handles the reply to the last call. The result is true if the compaction
    /// completed; the next one continues an incomplete one.
    pub fn step(&mut self, reply: Reply) -> Step<bool> {
        match (self.state.clone(), reply) {
            (State::CheckingFloor, Reply::Floor { revision, .. }) => self.check(revision),
            (
                State::ReadingSnapshot,
                Reply::Snapshot {
                    snapshot,
                    condition,
                },
            ) => self.write_snapshot(snapshot.map(|stored| stored.value.revision), condition),
            (State::WritingSnapshot, Reply::Done) => self.read_floor(self.snapshot.revision),
            (
                State::ReadingFloor(target),
                Reply::Floor {
                    revision,
                    condition,
                },
            ) => self.write_floor(target, revision, condition),
            (State::WritingFloor(floor), Reply::Done) => self.list(floor),
            (State::Listing(floor), Reply::Listed { entries, .. }) => {
                let numbers = entries.iter().map(|entry| entry.value.revision);
                self.remove(numbers.filter(|&number| number <= floor).collect())
            }
            (State::Removing(rest), Reply::Done) => self.remove(rest),
            _ => Step::Done(false),
        }
    }

    /// Continues if enough entries have accumulated.
    fn check(&mut self, floor: Revision) -> Step<bool> {
        let waiting = self.snapshot.revision.0.saturating_sub(floor.0);
        if waiting < self.options.compaction_interval + self.options.retained {
            return Step::Done(true);
        }
        self.state = State::ReadingSnapshot;
        Step::Call(Call::ReadSnapshot)
    }

    fn write_snapshot(&mut self, stored: Option<Revision>, condition: Condition) -> Step<bool> {
        let stored = stored.unwrap_or_default();
        if stored >= self.snapshot.revision {
            return self.read_floor(stored);
        }
        self.state = State::WritingSnapshot;
        Step::Call(Call::WriteSnapshot(self.snapshot.clone(), condition))
    }

    fn read_floor(&mut self, stored: Revision) -> Step<bool> {
        let target = Revision(stored.0.saturating_sub(self.options.retained));
        self.state = State::ReadingFloor(target);
        Step::Call(Call::ReadFloor)
    }

    fn write_floor(
        &mut self,
        target: Revision,
        floor: Revision,
        condition: Condition,
    ) -> Step<bool> {
        if floor >= target {
            return self.list(floor);
        }
        self.state = State::WritingFloor(target);
        Step::Call(Call::WriteFloor(target, condition))
    }

    fn list(&mut self, floor: Revision) -> Step<bool> {
        self.state = State::Listing(floor);
        Step::Call(Call::List {
            after: Version(0),
            wait: Duration::ZERO,
        })
    }

    fn remove(&mut self, mut rest: Vec<Revision>) -> Step<bool> {
        match rest.pop() {
            None => Step::Done(true),
            Some(revision) => {
                self.state = State::Removing(rest);
                Step::Call(Call::Remove(revision))
            }
        }
    }
}
