//! A rank's side of the agreement.

mod engine;
mod enrol;
mod event;
mod join;
mod outcome;
mod promise;

use std::cmp::Ordering;

use cactusnotch_base::Table;
use cactusnotch_base::clock::Instant;
use cactusnotch_base::name::Process;
use cactusnotch_base::number::{Incarnation, Step};
use cactusnotch_order::Sender;

use crate::ballot::Ballot;
use crate::engine::{Action, Expert, State};
use crate::map::{Map, Switch};
use crate::message::{Body, Message, Peer, Report, Verdict};
use crate::options::Options;
use crate::proposal::{Id, Proposal};
use crate::view::{Rank, View};

pub use event::{Command, Event, Retirement};

/// The phase of a member.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Phase {
    /// Taking the rank's seat. `former` is the process that held it when it was
    /// first read, if it was (`seen`); `written` is whether a write has been
    /// attempted since.
    Enrolling {
        seen: bool,
        former: Option<Process>,
        written: bool,
    },
    /// Taking over the engine and reading its state.
    Recovering,
    /// Requesting the reports of the other ranks. `starts_generation` is whether
    /// this member has attempted to start a new generation.
    Joining {
        reports: Table<Rank, Report>,
        starts_generation: bool,
    },
    /// Taking part in the group.
    Active,
    /// Replaced, or the engine process has ended; ignores all events.
    Retired,
}

/// The proposal that concerns the rank, if any.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Open {
    Nothing,
    /// The engine was ordered to hold the step and has not confirmed it.
    Holding(Proposal),
    /// The rank has promised, and the outcome is unknown.
    Promised {
        proposal: Proposal,
        ballot: Ballot,
    },
    /// The switch is committed; no step has started with the new map.
    Committed {
        id: Option<Id>,
        switch: Switch,
    },
}

/// The map that a coordinator has requested the rank to load.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Prepared {
    id: Id,
    map: Map,
    ready: bool,
}

/// The state machine of a rank's agent in the agreement.
///
/// A driver passes it [`Event`]s and carries out its [`Command`]s.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Member {
    rank: Rank,
    process: Process,
    options: Options,
    phase: Phase,
    view: View,
    incarnation: Incarnation,
    sender: Option<Sender<Action>>,
    engine: Option<State>,
    /// The map that was in force before `current`.
    previous: Option<Switch>,
    /// The map in force; set once the phase is `Active`.
    current: Switch,
    open: Open,
    prepared: Option<Prepared>,
    /// The largest identity of a proposal that was accepted or vetoed.
    highest: Id,
    /// The last step that was held. No step up to it is held again.
    last_hold: Step,
    /// The experts of the maps in force or under way.
    experts: Table<Map, Vec<Expert>>,
    /// The number of wakes since the rank promised.
    wakes: u32,
}

impl Member {
    /// Creates the member of `process` for `rank`; [`Event::Start`] starts it.
    #[must_use]
    pub fn new(rank: Rank, process: Process, options: Options) -> Self {
        Self {
            rank,
            process,
            options,
            phase: Phase::Enrolling {
                seen: false,
                former: None,
                written: false,
            },
            view: View::new(0, Switch::default()),
            incarnation: Incarnation::default(),
            sender: None,
            engine: None,
            previous: None,
            current: Switch::default(),
            open: Open::Nothing,
            prepared: None,
            highest: Id::default(),
            last_hold: Step::default(),
            experts: Table::new(),
            wakes: 0,
        }
    }

    /// Handles `event` at `now` and returns the commands for the driver.
    pub fn step(&mut self, event: Event, now: Instant) -> Vec<Command> {
        let mut out = Vec::new();
        if self.phase == Phase::Retired {
            return out;
        }
        match event {
            Event::Start => self.enrol(&mut out),
            Event::Wake => self.wake(now, &mut out),
            Event::Group { version, view } => self.group_read(version, view, now, &mut out),
            Event::Experts { map, experts } => self.experts_read(map, experts, now, &mut out),
            Event::Engine(answer) => self.handle_engine(answer, now, &mut out),
            Event::Message(message) => self.handle_message(message, now, &mut out),
        }
        out
    }

    /// Returns the rank of this member.
    #[must_use]
    pub const fn rank(&self) -> Rank {
        self.rank
    }

    /// Returns the member's view, in which a driver looks up the processes of
    /// the other ranks.
    #[must_use]
    pub const fn view(&self) -> &View {
        &self.view
    }

    /// Returns the map in force, once the rank takes part in the group.
    #[must_use]
    pub fn current(&self) -> Option<Switch> {
        (self.phase == Phase::Active).then_some(self.current)
    }

    /// Returns the proposal that the rank has promised and whose outcome is
    /// still unknown.
    #[must_use]
    pub fn promised(&self) -> Option<&Proposal> {
        match &self.open {
            Open::Promised { proposal, .. } => Some(proposal),
            _ => None,
        }
    }

    /// Returns whether this member was retired because of a newer process or a
    /// new engine.
    #[must_use]
    pub fn is_retired(&self) -> bool {
        self.phase == Phase::Retired
    }

    /// Returns whether the member waits only for new proposals.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        let done = self.phase == Phase::Active && self.open == Open::Nothing;
        let sender = self.sender.as_ref();
        let loaded = self.prepared.as_ref().is_none_or(|prepared| prepared.ready);
        self.is_retired() || done && loaded && sender.is_none_or(Sender::is_idle)
    }

    fn wake(&mut self, now: Instant, out: &mut Vec<Command>) {
        match &self.phase {
            Phase::Enrolling { .. } => self.enrol(out),
            Phase::Recovering => {}
            Phase::Joining { .. } => self.request_reports(out),
            Phase::Active => self.query_outcome(out),
            Phase::Retired => return,
        }
        self.wake_sender(now, out);
        self.schedule_wake(out);
    }

    fn schedule_wake(&self, out: &mut Vec<Command>) {
        let pause = if self.is_idle() {
            self.options.poll
        } else {
            self.options.retry
        };
        out.push(Command::Wake(pause));
    }

    fn handle_message(&mut self, message: Message, now: Instant, out: &mut Vec<Command>) {
        match message.from {
            Peer::Rank(rank) => self.handle_rank_message(rank, message, now, out),
            Peer::Coordinator(_) => self.handle_coordinator_message(message, now, out),
        }
    }

    fn handle_rank_message(
        &mut self,
        from: Rank,
        message: Message,
        now: Instant,
        out: &mut Vec<Command>,
    ) {
        if matches!(self.phase, Phase::Enrolling { .. }) {
            return;
        }
        if let Body::Join(view) | Body::View(view) = &message.body {
            self.install(view, now, out);
        }
        match message.view.cmp(&self.view.number) {
            Ordering::Less => self.reply(Body::View(self.view.clone()), out),
            Ordering::Greater => self.reply(Body::Behind, out),
            Ordering::Equal => self.handle_in_view(from, message.body, now, out),
        }
    }

    fn handle_in_view(&mut self, from: Rank, body: Body, now: Instant, out: &mut Vec<Command>) {
        match body {
            Body::Join(_) => self.send_report(from, out),
            Body::Report(report) => self.handle_report(from, report, now, out),
            Body::Query {
                proposal,
                ballot,
                urgent,
            } => {
                self.handle_query(&proposal, &ballot, urgent, now, out);
                self.send_outcome(Peer::Rank(from), &proposal, out);
            }
            Body::Outcome { proposal, verdict } => self.apply_outcome(&proposal, verdict, now, out),
            _ => {}
        }
    }

    /// Handles a coordinator's message. A commit is valid only in the view of
    /// the proposal: in a later view the ranks have already exchanged reports,
    /// which settle the proposal.
    fn handle_coordinator_message(
        &mut self,
        message: Message,
        now: Instant,
        out: &mut Vec<Command>,
    ) {
        if self.phase != Phase::Active {
            return;
        }
        match message.body {
            Body::Prepare { id, map } => self.handle_prepare(id, map, now, out),
            Body::Propose(proposal) => self.handle_proposal(&proposal, now, out),
            Body::Query {
                proposal,
                ballot,
                urgent,
            } => {
                self.handle_query(&proposal, &ballot, urgent, now, out);
                self.send_outcome(message.from, &proposal, out);
            }
            Body::Outcome { proposal, verdict }
                if verdict == Verdict::Commit && proposal.view < self.view.number =>
            {
                self.correct_coordinator(proposal, out);
            }
            Body::Outcome { proposal, verdict } => self.apply_outcome(&proposal, verdict, now, out),
            _ => {}
        }
    }

    fn send(&self, to: Peer, body: Body, out: &mut Vec<Command>) {
        let message = self.message(body);
        out.push(Command::Send { to, message });
    }

    fn reply(&self, body: Body, out: &mut Vec<Command>) {
        out.push(Command::Reply(self.message(body)));
    }

    const fn message(&self, body: Body) -> Message {
        Message {
            from: Peer::Rank(self.rank),
            view: self.view.number,
            body,
        }
    }

    fn retire(&mut self, reason: Retirement, out: &mut Vec<Command>) {
        self.phase = Phase::Retired;
        self.sender = None;
        out.push(Command::Retire(reason));
    }
}
