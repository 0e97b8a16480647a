//! The coordinator's side of the agreement.

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

/// The retry intervals between repeats of a committed outcome. Ranks query for an
/// outcome that they lack, so only their final `Applied` message can be lost.
const APPLYING_RETRIES: u32 = 8;

/// The state of the group's lease.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Tenure {
    /// Another agent holds the lease, or it is free. `seen` is its last version
    /// and the time at which that was first read.
    Watching { seen: Option<(Version, Instant)> },
    /// This agent holds the lease.
    Holding {
        lease: Lease,
        version: Version,
        renewed: Instant,
    },
}

/// The stage of a switch.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Stage {
    Idle,
    /// Reading the group's object for its size and epoch.
    Reading {
        digest: u64,
    },
    /// Recording the map on the platform.
    Recording {
        id: Id,
        map: Map,
    },
    /// Waiting for the ranks to load weights; not binding for them.
    Preparing {
        id: Id,
        map: Map,
        until: Instant,
        ready: Table<Rank, (u64, Step)>,
    },
    /// Collecting votes.
    Voting {
        proposal: Proposal,
        ballot: Ballot,
        wakes: u32,
    },
    /// Announcing to the ranks that the map is to be used.
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

/// The state machine of a group's coordinator, the holder of the group's lease.
///
/// It proposes switches and counts votes. The outcome depends on the votes
/// alone.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Coordinator {
    process: Process,
    options: Options,
    tenure: Tenure,
    stage: Stage,
    size: usize,
    sequence: Sequence,
    /// The last outcome, for ranks that query after the switch has ended.
    last: Option<(Id, Verdict)>,
}

impl Coordinator {
    /// Creates the coordinator of `process`; [`Event::Start`] starts it.
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

    /// Handles `event` at `now` and returns the commands for the driver.
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
            Event::Message(message) => self.handle_message(message, &mut out),
        }
        out
    }

    /// Returns the fencing number while this agent holds the lease, as last read.
    #[must_use]
    pub const fn fence(&self) -> Option<Fence> {
        match &self.tenure {
            Tenure::Holding { lease, .. } => Some(lease.fence),
            Tenure::Watching { .. } => None,
        }
    }

    /// Returns whether no switch is under way.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.stage == Stage::Idle
    }

    fn wake(&mut self, now: Instant, out: &mut Vec<Command>) {
        self.renew_lease(now, out);
        self.resend(now, out);
        let pause = if self.is_idle() {
            self.options.lease / lease::RENEWALS_PER_LEASE
        } else if matches!(self.stage, Stage::Applying { .. }) {
            self.options.retry * APPLYING_RETRIES
        } else {
            self.options.retry
        };
        out.push(Command::Wake(pause));
    }

    fn handle_message(&mut self, message: Message, out: &mut Vec<Command>) {
        let Peer::Rank(from) = message.from else {
            return;
        };
        match message.body {
            Body::Ready { id, view, next } => self.handle_ready(from, id, view, next, out),
            Body::Vote { id, vote } => self.handle_vote(from, id, vote, out),
            Body::Outcome { proposal, verdict } => self.apply_outcome(proposal.id, &verdict, out),
            Body::Applied { id } => self.handle_applied(from, id, out),
            Body::Query { proposal, .. } => self.handle_query(from, proposal, out),
            _ => {}
        }
    }

    fn handle_vote(&mut self, from: Rank, id: Id, vote: Vote, out: &mut Vec<Command>) {
        match vote {
            Vote::Veto(reason) => self.abort(id, reason, out),
            Vote::Promise => {
                let mut promise = Ballot::default();
                promise.insert(from);
                self.add_promises(id, &promise, out);
            }
        }
    }

    fn apply_outcome(&mut self, id: Id, verdict: &Verdict, out: &mut Vec<Command>) {
        match verdict {
            Verdict::Open(ballot) => self.add_promises(id, ballot, out),
            Verdict::Commit => self.commit(id, out),
            Verdict::Abort => self.abort(id, Reason::Queried, out),
        }
    }

    fn send_to_ranks(
        &self,
        ranks: impl IntoIterator<Item = Rank>,
        body: &Body,
        out: &mut Vec<Command>,
    ) {
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
