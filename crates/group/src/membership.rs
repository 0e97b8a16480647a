//! The rank's own part in the agreement.

use cactusnotch_base::clock::Instant;
use cactusnotch_base::name::Process;
use cactusnotch_base::number::{Fence, Sequence};
use cactusnotch_base::{Clock, Table};
use cactusnotch_objects::object::Version;
use cactusnotch_order::Answer;
use cactusnotch_placement::{Map as Content, Rank as Place};
use cactusnotch_popularity::Report;
use cactusnotch_switch::engine::{Action, Expert, State};
use cactusnotch_switch::rank::{Command, Event, Member, Retirement};
use cactusnotch_switch::{Map, Message, Peer, Rank, Switch, View};
use cactusnotch_telemetry::metric;
use cactusnotch_wire::group::Body;

use crate::Transport;
use crate::driver::{CANDIDATES, Context};
use crate::input::{Asker, Input};

/// What parts a process's name from its incarnation in a seat.
const LIFE: char = '@';

/// The contents of maps that are kept.
const CONTENTS: usize = 8;

/// The rank's own part in the agreement, with what the driver knows beside.
#[derive(Debug)]
pub(crate) struct Membership {
    member: Member,
    wake: Option<Instant>,
    report: Instant,
    reported: Sequence,
    /// Where each coordinator was heard from.
    coordinators: Table<Fence, Process>,
    /// Who sent the message heard last, for the reply to it.
    sender: Option<Process>,
    contents: Table<Map, Content>,
}

impl Membership {
    pub(crate) fn new<P: Transport, C: Clock>(context: &Context<P, C>) -> Self {
        Self {
            member: member(context),
            wake: None,
            report: context.clock.now() + context.options.report_interval,
            reported: Sequence(0),
            coordinators: Table::new(),
            sender: None,
            contents: Table::new(),
        }
    }

    pub(crate) fn start<P: Transport, C: Clock>(&mut self, context: &Context<P, C>) {
        self.step(context, Event::Start);
    }

    /// Returns when [`Membership::tick`] is due next.
    pub(crate) fn wake(&self) -> Instant {
        self.wake.map_or(self.report, |wake| wake.min(self.report))
    }

    pub(crate) fn current(&self) -> Option<Switch> {
        self.member.current()
    }

    /// Returns the placed of the map in force, if it is known.
    pub(crate) fn content(&self) -> Option<&Content> {
        self.contents.get(&self.current()?.map)
    }

    /// Returns the processes in the seats, by rank.
    pub(crate) fn seats(&self) -> impl Iterator<Item = Option<Process>> + '_ {
        let seats = self.member.view().seats.iter();
        seats.map(|seat| seat.as_ref().map(|seat| place(&seat.process)))
    }

    pub(crate) fn tick<P: Transport, C: Clock>(&mut self, context: &Context<P, C>) {
        let now = context.clock.now();
        if self.wake.is_some_and(|wake| wake <= now) {
            self.wake = None;
            self.step(context, Event::Wake);
        }
        if self.report <= now {
            self.report = now + context.options.report_interval;
            let after = self.reported;
            context.call(move |_, engine| engine.reports(after).map(Input::Reports));
            self.read_current(context);
        }
    }

    /// Reads the placed of the map in force unless it is known.
    fn read_current<P: Transport, C: Clock>(&self, context: &Context<P, C>) {
        let unknown = self
            .current()
            .map(|current| current.map)
            .filter(|map| !self.contents.contains(map));
        if let Some(map) = unknown {
            context.call(move |objects, _| {
                let placed = objects.read_map(map)?;
                Some(Input::InForce {
                    map,
                    content: placed,
                })
            });
        }
    }

    /// Notes who sent a message, and where a coordinator is reached.
    pub(crate) fn heard(&mut self, from: &Process, message: &Message) {
        self.sender = Some(from.clone());
        if let Peer::Coordinator(fence) = message.from {
            self.coordinators.retain(|known, _| *known >= fence);
            self.coordinators.insert(fence, from.clone());
        }
    }

    pub(crate) fn received<P: Transport, C: Clock>(
        &mut self,
        context: &Context<P, C>,
        message: Message,
    ) {
        self.step(context, Event::Message(message));
    }

    pub(crate) fn group_read<P: Transport, C: Clock>(
        &mut self,
        context: &Context<P, C>,
        version: Version,
        view: View,
    ) {
        self.step(context, Event::Group { version, view });
    }

    pub(crate) fn content_read<P: Transport, C: Clock>(
        &mut self,
        context: &Context<P, C>,
        map: Map,
        placed: Content,
    ) {
        let place = Place(context.options.rank.0);
        let experts = placed.experts_on(place).map(expert).collect();
        self.keep(map, placed);
        self.step(context, Event::Experts { map, experts });
    }

    /// Keeps the placed of a map for orders and plans.
    pub(crate) fn keep(&mut self, map: Map, placed: Content) {
        self.contents.insert(map, placed);
        if self.contents.len() > CONTENTS {
            let oldest = self.contents.keys().next().copied();
            oldest.map(|map| self.contents.remove(&map));
        }
    }

    pub(crate) fn engine_answered<P: Transport, C: Clock>(
        &mut self,
        context: &Context<P, C>,
        answer: Answer<State>,
    ) {
        self.step(context, Event::Engine(answer));
    }

    /// Passes the rank's reports on to the agents that may coordinate.
    pub(crate) fn reported<P: Transport, C: Clock>(
        &mut self,
        context: &Context<P, C>,
        reports: &[Report],
    ) {
        let Some(last) = reports.last() else { return };
        self.reported = last.sequence;
        let own = &context.options.process;
        let candidates = self.seats().take(usize::from(CANDIDATES)).flatten();
        for to in candidates.filter(|to| to != own) {
            context.send(&to, Body::Reports(reports.to_vec()));
        }
    }

    fn step<P: Transport, C: Clock>(&mut self, context: &Context<P, C>, event: Event) {
        let now = context.clock.now();
        for command in self.member.step(event, now) {
            self.carry_out(context, command, now);
        }
    }

    fn carry_out<P: Transport, C: Clock>(
        &mut self,
        context: &Context<P, C>,
        command: Command,
        now: Instant,
    ) {
        match command {
            Command::ReadGroup => context.call(|objects, _| group(objects.read_group())),
            Command::WriteGroup { version, view } => {
                context.call(move |objects, _| group(objects.write_group(version, &view)));
            }
            Command::ReadMap(map) => self.read_map(context, map),
            Command::Send { to, message } => self.send(context, to, message),
            Command::Reply(message) => {
                if let Some(sender) = &self.sender {
                    deliver(context, sender, message);
                }
            }
            Command::Order(order) => {
                let placed = match order.wanted {
                    Action::Use(switch) => self.contents.get(&switch.map).cloned(),
                    _ => None,
                };
                context.call(move |_, engine| {
                    engine.order(&order, placed.as_ref()).map(Input::Engine)
                });
            }
            Command::ReadEngine(fence) => {
                context.call(move |_, engine| engine.state(fence).map(Input::Engine));
            }
            Command::Wake(after) => {
                let wake = now + after;
                self.wake = Some(self.wake.map_or(wake, |set| set.min(wake)));
            }
            Command::Decided { id, switch } => {
                tracing::debug!(%id, committed = switch.is_some(), "proposal decided");
            }
            Command::InForce(switch) => {
                metrics::counter!(metric::GROUP_SWITCHES).increment(1);
                tracing::info!(
                    epoch = %switch.map.epoch,
                    from = %switch.from,
                    "expert map in force at this rank"
                );
            }
            Command::Retire(retirement) => self.retire(context, retirement),
        }
    }

    fn read_map<P: Transport, C: Clock>(&self, context: &Context<P, C>, map: Map) {
        let known = self.contents.get(&map).cloned();
        context.call(move |objects, _| {
            let placed = known.or_else(|| objects.read_map(map))?;
            Some(Input::Content {
                map,
                content: placed,
            })
        });
    }

    fn send<P: Transport, C: Clock>(&self, context: &Context<P, C>, to: Peer, message: Message) {
        let process = match to {
            Peer::Rank(rank) => self.seat(rank),
            Peer::Coordinator(fence) => self.coordinators.get(&fence).cloned(),
        };
        if let Some(process) = process {
            deliver(context, &process, message);
        }
    }

    /// Returns the process in a seat.
    pub(crate) fn seat(&self, rank: Rank) -> Option<Process> {
        let seat = self.member.view().seat(rank)?;
        Some(place(&seat.process))
    }

    fn retire<P: Transport, C: Clock>(&mut self, context: &Context<P, C>, retirement: Retirement) {
        tracing::warn!(?retirement, "part in the group ended");
        if retirement == Retirement::EngineLost {
            self.member = member(context);
            self.wake = None;
            self.reported = Sequence(0);
            self.step(context, Event::Start);
        }
    }
}

/// Sends a message of the agreement, to the own process as well.
pub(crate) fn deliver<P: Transport, C: Clock>(
    context: &Context<P, C>,
    to: &Process,
    message: Message,
) {
    let body = Body::Switch(message);
    if *to == context.options.process {
        let from = to.clone();
        // The protocol repeats what matters.
        let _ = context.inputs.try_send(Input::Said { from, body });
    } else {
        context.send(to, body);
    }
}

fn member<P, C>(context: &Context<P, C>) -> Member {
    let options = &context.options;
    Member::new(options.rank, life(options), options.switch)
}

/// Returns the name of this life of the process: a seat must not pass to a
/// process that was restarted under the same name.
pub(crate) fn life(options: &crate::Options) -> Process {
    Process::new(format!("{}{LIFE}{}", options.process, options.incarnation))
}

/// Returns the process's name on the roster.
fn place(life: &Process) -> Process {
    let name = life.as_str();
    Process::new(name.rsplit_once(LIFE).map_or(name, |(place, _)| place))
}

fn group(found: Option<(Version, View)>) -> Option<Input> {
    let (version, view) = found?;
    Some(Input::Group {
        asker: Asker::Member,
        version,
        view,
    })
}

fn expert(cell: cactusnotch_popularity::Cell) -> Expert {
    Expert {
        layer: cell.layer,
        expert: cell.expert,
    }
}
