//! The part of a group's coordinator in the agreement.

mod event;
mod lease;
mod round;

use cactusnotch_base::Table;
use cactusnotch_base::clock::Instant;
use cactusnotch_base::name::Process;
use cactusnotch_base::number::{Fence, Sequence, Step};
use cactusnotch_objects::object::Version;

use crate::ballot::Ballot;
use crate::lease::Lease;
use crate::map::Map;
use crate::message::{Body, Message, Peer, Reason, Verdict, Vote};
use crate::options::Options;
use crate::proposal::{Id, Proposal};
use crate::view::Rank;

pub use event::{Command, Ending, Event};

/// How many retry times the coordinator waits for the ranks to use a map: they
/// ask for an outcome that they lack, so only their last word can be lost.
const APPLYING_RETRIES: u32 = 8;

/// What the coordinator knows of the group's lease.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Tenure {
    /// Another agent holds the lease, or none; seen first at this time.
    Watching { seen: Option<(Version, Instant)> },
    /// This agent holds the lease.
    Holding {
        lease: Lease,
        version: Version,
        renewed: Instant,
    },
}

/// How far a switch has come.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Stage {
    Idle,
    /// Reading the group's object, to learn its size and epoch.
    Reading {
        digest: u64,
    },
    /// Recording the map on the platform.
    Recording {
        id: Id,
        map: Map,
    },
    /// Waiting for the ranks to load weights; binds nobody.
    Preparing {
        id: Id,
        map: Map,
        until: Instant,
        ready: Table<Rank, (u64, Step)>,
    },
    /// Gathering votes.
    Voting {
        proposal: Proposal,
        ballot: Ballot,
        wakes: u32,
    },
    /// Telling the ranks that the map is to be used.
    Applying {
        proposal: Proposal,
        applied: Ballot,
        wakes: u32,
    },
    /// Recording the map as the one in force.
    Closing {
        map: Map,
        ending: Ending,
    },
}

/// The part of a group's coordinator: the holder of the group's lease.
///
/// It proposes and counts; it decides nothing that the ranks' votes do not.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Coordinator {
    process: Process,
    options: Options,
    tenure: Tenure,
    stage: Stage,
    size: usize,
    sequence: Sequence,
    /// The last outcome, for ranks that ask late.
    last: Option<(Id, Verdict)>,
}

impl Coordinator {
    /// Creates the part of `process`; [`Event::Start`] starts it.
    #[must_use]
    pub const fn new(process: Process, options: Options) -> Self {
        Self {
            process,
            options,
            tenure: Tenure::Watching { seen: None },
            stage: Stage::Idle,
            size: 0,
            sequence: Sequence(0),
            last: None,
        }
    }

    /// Takes in `event` at `now` and returns what the driver is to do.
    pub fn step(&mut self, event: Event, now: Instant) -> Vec<Command> {
        let mut out = Vec::new();
        match event {
            Event::Start => {
                out.push(Command::ReadLease);
                out.push(Command::Wake(self.options.retry));
            }
            Event::Wake => self.wake(now, &mut out),
            Event::Lease(found) => self.lease_read(found, now, &mut out),
            Event::SwitchTo { digest } => self.switch_to(digest, &mut out),
            Event::Group { version, view } => self.group_read(version, view, &mut out),
            Event::MapRecorded(map) => self.map_recorded(map, now, &mut out),
            Event::Message(message) => self.received(message, &mut out),
        }
        out
    }

    /// Returns the fencing number, while this agent believes it has the lease.
    #[must_use]
    pub const fn fence(&self) -> Option<Fence> {
        match &self.tenure {
            Tenure::Holding { lease, .. } => Some(lease.fence),
            Tenure::Watching { .. } => None,
        }
    }

    /// Tells whether no switch is under way.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.stage == Stage::Idle
    }

    fn wake(&mut self, now: Instant, out: &mut Vec<Command>) {
        self.renew(now, out);
        self.retry(now, out);
        let pause = if self.is_idle() {
            self.options.lease / lease::RENEWALS_PER_LEASE
        } else if matches!(self.stage, Stage::Applying { .. }) {
            self.options.retry * APPLYING_RETRIES
        } else {
            self.options.retry
        };
        out.push(Command::Wake(pause));
    }

    fn received(&mut self, message: Message, out: &mut Vec<Command>) {
        let Peer::Rank(from) = message.from else {
            return;
        };
        match message.body {
            Body::Ready { id, view, next } => self.ready(from, id, view, next, out),
            Body::Vote { id, vote } => self.voted(from, id, vote, out),
            Body::Outcome { proposal, verdict } => self.learned(proposal.id, &verdict, out),
            Body::Applied { id } => self.applied(from, id, out),
            Body::Query { proposal, .. } => self.queried(from, proposal, out),
            _ => {}
        }
    }

    fn voted(&mut self, from: Rank, id: Id, vote: Vote, out: &mut Vec<Command>) {
        match vote {
            Vote::Veto(reason) => self.vetoed(id, reason, out),
            Vote::Promise => {
                let mut promise = Ballot::default();
                promise.insert(from);
                self.promised(id, &promise, out);
            }
        }
    }

    fn learned(&mut self, id: Id, verdict: &Verdict, out: &mut Vec<Command>) {
        match verdict {
            Verdict::Open(ballot) => self.promised(id, ballot, out),
            Verdict::Commit => self.committed(id, out),
            Verdict::Abort => self.vetoed(id, Reason::Queried, out),
        }
    }

    fn tell_all(&self, ranks: impl IntoIterator<Item = Rank>, body: &Body, out: &mut Vec<Command>) {
        let Some(fence) = self.fence() else {
            return;
        };
        let message = Message {
            from: Peer::Coordinator(fence),
            view: 0,
            body: body.clone(),
        };
        out.extend(ranks.into_iter().map(|to| {
            let message = message.clone();
            Command::Send { to, message }
        }));
    }

    fn end(&mut self, ending: Ending, out: &mut Vec<Command>) {
        self.stage = Stage::Idle;
        out.push(Command::Ended(ending));
    }
}
