//! The submission of an edit to the history.

use cactusnotch_base::number::Revision;
use cactusnotch_settings::Edit;

use crate::{
    Answer, Call, Catchup, Entry, Options, Replica, Reply, Snapshot, Step, Validation, Verdict,
};

/// Adds an edit to the history, or determines that it can't be added.
///
/// The edit is validated on the replica and written under the next number if
/// that is free. The write counts only if the floor, read after it, is below
/// its number: otherwise the number may have been used and deleted before. If
/// a write has no answer, the entry is read back. An edit is refused only if
/// the replica was brought up to date after the submission began.
#[derive(Debug, Clone)]
pub struct Submission {
    edit: Edit,
    state: State,
    /// Whether the replica was brought up to date since the submission began.
    is_synced: bool,
    /// The number under which an unanswered write may still take effect.
    pending: Option<Revision>,
    attempts: u32,
    races: u32,
}

#[derive(Debug, Clone)]
enum State {
    Idle,
    CatchingUp(Catchup),
    Creating(Box<Entry>),
    ReadingBack(Box<Entry>),
    Confirming(Box<Entry>),
    Settling(Box<Entry>),
    Removing,
}

impl Submission {
    /// Creates a submission of `edit`.
    #[must_use]
    pub fn new(edit: Edit, options: &Options) -> Self {
        Self {
            edit,
            state: State::Idle,
            is_synced: false,
            pending: None,
            attempts: options.attempts,
            races: options.races,
        }
    }

    /// Starts the submission with the current state of the replica.
    pub fn start(&mut self, replica: &Replica) -> Step<Verdict> {
        self.validate(replica)
    }

    /// Handles the reply to the last call.
    pub fn step(&mut self, replica: &mut Replica, reply: Reply) -> Step<Verdict> {
        if let Reply::Lost { detail } | Reply::Failed { detail } = &reply {
            return self.unanswered(replica, &reply, detail.clone());
        }
        match self.state.clone() {
            State::CatchingUp(mut catchup) => match catchup.step(reply) {
                Step::Call(call) => {
                    self.state = State::CatchingUp(catchup);
                    Step::Call(call)
                }
                Step::Done(fetched) => {
                    let answer = replica.apply(&fetched);
                    self.caught_up(replica, &answer)
                }
            },
            State::Creating(entry) => self.created(replica, entry, reply),
            State::ReadingBack(entry) => self.read_back(replica, entry.revision, reply),
            State::Confirming(entry) => self.confirmed(replica, entry, &reply),
            State::Settling(entry) => self.settled(replica, &entry, reply),
            State::Idle | State::Removing => self.validate(replica),
        }
    }

    fn validate(&mut self, replica: &Replica) -> Step<Verdict> {
        match replica.validate(&self.edit) {
            Ok(Validation::Accepted(revision)) => Step::Done(Verdict::Accepted { revision }),
            Ok(Validation::Next(entry)) => {
                self.state = State::Creating(entry.clone());
                Step::Call(Call::Create(entry))
            }
            Err(refusal) if self.is_synced => Step::Done(Verdict::Refused(refusal)),
            Err(_) => self.catch_up(replica),
        }
    }

    fn catch_up(&mut self, replica: &Replica) -> Step<Verdict> {
        let catchup = Catchup::new(replica.revision());
        let call = catchup.start();
        self.state = State::CatchingUp(catchup);
        Step::Call(call)
    }

    fn caught_up(&mut self, replica: &Replica, answer: &Answer) -> Step<Verdict> {
        if !answer.is_held() {
            return Step::Done(self.give_up(answer.to_string()));
        }
        self.is_synced = true;
        // A number up to the newest revision is in use, so a delayed write to it
        // can no longer add the edit.
        self.pending = self.pending.filter(|&slot| slot > replica.revision());
        self.validate(replica)
    }

    fn created(&mut self, replica: &Replica, entry: Box<Entry>, reply: Reply) -> Step<Verdict> {
        match reply {
            Reply::Done => self.confirm(entry),
            Reply::Taken(Some(other)) if other.edit.id == self.edit.id => self.confirm(other),
            Reply::Taken(Some(_)) => self.lost_race(replica, entry.revision),
            _ => {
                self.pending = None;
                let slot = Entry::path(entry.revision);
                Step::Done(self.give_up(format!("{slot} holds no entry")))
            }
        }
    }

    fn read_back(&mut self, replica: &Replica, slot: Revision, reply: Reply) -> Step<Verdict> {
        match reply {
            Reply::Entry(Some(found)) if found.edit.id == self.edit.id => self.confirm(found),
            Reply::Entry(Some(_)) => self.lost_race(replica, slot),
            _ => self.validate(replica),
        }
    }

    /// Retries after another edit was written under the number.
    fn lost_race(&mut self, replica: &Replica, slot: Revision) -> Step<Verdict> {
        self.pending = None;
        if self.races == 0 {
            return Step::Done(self.give_up(format!("{slot} and those before went to others")));
        }
        self.races -= 1;
        self.catch_up(replica)
    }

    fn confirm(&mut self, entry: Box<Entry>) -> Step<Verdict> {
        self.pending = Some(entry.revision);
        self.state = State::Confirming(entry);
        Step::Call(Call::ReadFloor)
    }

    fn confirmed(
        &mut self,
        replica: &mut Replica,
        entry: Box<Entry>,
        reply: &Reply,
    ) -> Step<Verdict> {
        let revision = entry.revision;
        match reply {
            Reply::Floor {
                revision: floor, ..
            } if *floor < revision => {
                let answer = replica.offer_entries(std::slice::from_ref(&*entry));
                if answer.is_held() {
                    return Step::Done(Verdict::Accepted { revision });
                }
                Step::Done(self.give_up(answer.to_string()))
            }
            _ => {
                self.state = State::Settling(entry);
                Step::Call(Call::ReadSnapshot)
            }
        }
    }

    /// Determines from the snapshot whether the entry, which is at or below the
    /// floor, became part of the history before compaction.
    fn settled(&mut self, replica: &mut Replica, entry: &Entry, reply: Reply) -> Step<Verdict> {
        let Reply::Snapshot {
            snapshot: Some(stored),
            ..
        } = reply
        else {
            return Step::Done(self.give_up("there is a floor and no snapshot".to_owned()));
        };
        let snapshot = stored.value;
        if !covers(&snapshot, entry.revision) {
            return Step::Done(self.give_up("the order has gone on too far".to_owned()));
        }
        let answer = replica.offer_snapshot(&snapshot);
        if !answer.is_held() {
            return Step::Done(self.give_up(answer.to_string()));
        }
        self.pending = None;
        let accepted = snapshot.accepted(&self.edit.id);
        if let Some(summary) = accepted.filter(|found| found.revision == entry.revision) {
            let revision = summary.revision;
            return Step::Done(Verdict::Accepted { revision });
        }
        self.state = State::Removing;
        Step::Call(Call::Remove(entry.revision))
    }

    fn unanswered(&mut self, replica: &Replica, reply: &Reply, detail: String) -> Step<Verdict> {
        let is_lost = matches!(reply, Reply::Lost { .. });
        if let State::Creating(entry) = &self.state
            && is_lost
        {
            self.pending = Some(entry.revision);
        }
        if self.attempts == 0 {
            return Step::Done(self.give_up(detail));
        }
        self.attempts -= 1;
        match self.state.clone() {
            State::Creating(entry) if is_lost => {
                let slot = entry.revision;
                self.state = State::ReadingBack(entry);
                Step::Call(Call::ReadEntry(slot))
            }
            State::Creating(entry) => Step::Call(Call::Create(entry)),
            State::ReadingBack(entry) => Step::Call(Call::ReadEntry(entry.revision)),
            State::Confirming(_) => Step::Call(Call::ReadFloor),
            State::Settling(_) => Step::Call(Call::ReadSnapshot),
            // The next compaction removes what remains below the floor.
            State::Idle | State::Removing => self.validate(replica),
            State::CatchingUp(_) => self.catch_up(replica),
        }
    }

    fn give_up(&self, detail: String) -> Verdict {
        match self.pending {
            Some(revision) => Verdict::Unknown { revision, detail },
            None => Verdict::Unavailable { detail },
        }
    }
}

fn covers(snapshot: &Snapshot, revision: Revision) -> bool {
    snapshot.revision >= revision && snapshot.oldest_base() < revision
}
