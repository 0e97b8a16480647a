//! The part of a rank's agent in the agreement.

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

/// How far an agent has come with its part in the group.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Phase {
    /// Taking the rank's seat; `former` is the process that was seen there,
    /// if it was `seen`, and `written` tells whether a write was tried since.
    Enrolling {
        seen: bool,
        former: Option<Process>,
        written: bool,
    },
    /// Taking the engine over and reading it.
    Recovering,
    /// Asking the other ranks what they know; `founds` tells whether this one
    /// has tried to start a new generation.
    Joining {
        reports: Table<Rank, Report>,
        founds: bool,
    },
    /// A part in the group.
    Active,
    /// Replaced, or its engine is gone: does nothing any more.
    Retired,
}

/// The proposal that concerns the rank, if any.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Open {
    Nothing,
    /// The engine has been told to wait and has not confirmed it.
    Holding(Proposal),
    /// The rank has promised and the outcome is not known.
    Promised {
        proposal: Proposal,
        ballot: Ballot,
    },
    /// The outcome is to switch; no step has started with the new map.
    Committed {
        id: Option<Id>,
        switch: Switch,
    },
}

/// The map that a coordinator has asked the rank to load.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Prepared {
    id: Id,
    map: Map,
    ready: bool,
}

/// The part of a rank's agent in the agreement.
///
/// A driver hands it [`Event`]s and carries out its [`Command`]s.
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
    /// The largest proposal that was accepted or vetoed.
    highest: Id,
    /// The last step that was held; never held again.
    last_hold: Step,
    /// The experts of the maps that matter now.
    experts: Table<Map, Vec<Expert>>,
    /// The wakes since the rank promised.
    wakes: u32,
}

impl Member {
    /// Creates the part of `process` for `rank`; [`Event::Start`] starts it.
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

    /// Takes in `event` at `now` and returns what the driver is to do.
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
            Event::Engine(answer) => self.engine_answered(answer, now, &mut out),
            Event::Message(message) => self.received(message, now, &mut out),
        }
        out
    }

    /// Returns the rank of this part.
    #[must_use]
    pub const fn rank(&self) -> Rank {
        self.rank
    }

    /// Returns the view that the rank knows, by which a driver finds the
    /// processes of the other ranks.
    #[must_use]
    pub const fn view(&self) -> &View {
        &self.view
    }

    /// Returns the map in force, once the rank has a part in the group.
    #[must_use]
    pub fn current(&self) -> Option<Switch> {
        (self.phase == Phase::Active).then_some(self.current)
    }

    /// Returns the proposal on which the rank has promised and whose outcome
    /// it does not know.
    #[must_use]
    pub fn promised(&self) -> Option<&Proposal> {
        match &self.open {
            Open::Promised { proposal, .. } => Some(proposal),
            _ => None,
        }
    }

    /// Tells whether a newer process or a new engine has ended this part.
    #[must_use]
    pub fn is_retired(&self) -> bool {
        self.phase == Phase::Retired
    }

    /// Tells whether the part waits for nothing but new proposals.
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
            Phase::Joining { .. } => self.ask_reports(out),
            Phase::Active => self.ask_outcome(out),
            Phase::Retired => return,
        }
        self.wake_sender(now, out);
        self.sleep(out);
    }

    fn sleep(&self, out: &mut Vec<Command>) {
        let pause = if self.is_idle() {
            self.options.poll
        } else {
            self.options.retry
        };
        out.push(Command::Wake(pause));
    }

    fn received(&mut self, message: Message, now: Instant, out: &mut Vec<Command>) {
        match message.from {
            Peer::Rank(rank) => self.received_from_rank(rank, message, now, out),
            Peer::Coordinator(_) => self.received_from_coordinator(message, now, out),
        }
    }

    fn received_from_rank(
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
            Ordering::Equal => self.received_in_view(from, message.body, now, out),
        }
    }

    fn received_in_view(&mut self, from: Rank, body: Body, now: Instant, out: &mut Vec<Command>) {
        match body {
            Body::Join(_) => self.report(from, out),
            Body::Report(report) => self.reported(from, report, now, out),
            Body::Query {
                proposal,
                ballot,
                urgent,
            } => {
                self.queried(&proposal, &ballot, urgent, now, out);
                self.answer(Peer::Rank(from), &proposal, out);
            }
            Body::Outcome { proposal, verdict } => self.learned(&proposal, verdict, now, out),
            _ => {}
        }
    }

    /// Takes in a coordinator's message. A commit counts only in the view of
    /// the proposal: in a later one, ranks have already said what they know.
    fn received_from_coordinator(
        &mut self,
        message: Message,
        now: Instant,
        out: &mut Vec<Command>,
    ) {
        if self.phase != Phase::Active {
            return;
        }
        match message.body {
            Body::Prepare { id, map } => self.prepare(id, map, now, out),
            Body::Propose(proposal) => self.propose(&proposal, now, out),
            Body::Query {
                proposal,
                ballot,
                urgent,
            } => {
                self.queried(&proposal, &ballot, urgent, now, out);
                self.answer(message.from, &proposal, out);
            }
            Body::Outcome { proposal, verdict }
                if verdict == Verdict::Commit && proposal.view < self.view.number =>
            {
                self.contradict(proposal, out);
            }
            Body::Outcome { proposal, verdict } => self.learned(&proposal, verdict, now, out),
            _ => {}
        }
    }

    fn tell(&self, to: Peer, body: Body, out: &mut Vec<Command>) {
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

    fn retire(&mut self, why: Retirement, out: &mut Vec<Command>) {
        self.phase = Phase::Retired;
        self.sender = None;
        out.push(Command::Retire(why));
    }
}
