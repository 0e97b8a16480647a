//! The rank's own part in the switch protocol.

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
use crate::input::{Input, Requester};

/// Separates a process's name from its incarnation in a seat.
const INCARNATION_SEPARATOR: char = '@';

/// The number of maps whose contents are cached.
const CONTENTS_MAX: usize = 8;

/// The rank's own part in the switch protocol, with the state of its driver.
#[derive(Debug)]
pub(crate) struct Membership {
    member: Member,
    wake: Option<Instant>,
    report: Instant,
    reported: Sequence,
    /// The process from which messages of each coordinator were received.
    coordinators: Table<Fence, Process>,
    /// The sender of the latest message, to which replies are sent.
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

    /// Returns the content of the map in force, if it is cached.
    pub(crate) fn content(&self) -> Option<&Content> {
        self.contents.get(&self.current()?.map)
    }

    /// Returns the processes in the seats, by rank.
    pub(crate) fn seats(&self) -> impl Iterator<Item = Option<Process>> + '_ {
        let seats = self.member.view().seats.iter();
        seats.map(|seat| seat.as_ref().map(|seat| roster_name(&seat.process)))
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

    /// Reads the content of the map in force unless it is cached.
    fn read_current<P: Transport, C: Clock>(&self, context: &Context<P, C>) {
        let unknown = self
            .current()
            .map(|current| current.map)
            .filter(|map| !self.contents.contains(map));
        if let Some(map) = unknown {
            context.call(move |objects, _| {
                let map_content = objects.read_map(map)?;
                Some(Input::InForce {
                    map,
                    content: map_content,
                })
            });
        }
    }

    /// Records the sender of a message, and the address of a coordinator.
    pub(crate) fn record_sender(&mut self, from: &Process, message: &Message) {
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
        map_content: Content,
    ) {
        let place = Place(context.options.rank.0);
        let experts = map_content.experts_on(place).map(expert).collect();
        self.keep(map, map_content);
        self.step(context, Event::Experts { map, experts });
    }

    /// Caches the content of a map for orders and plans.
    pub(crate) fn keep(&mut self, map: Map, map_content: Content) {
        self.contents.insert(map, map_content);
        if self.contents.len() > CONTENTS_MAX {
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

    /// Forwards the rank's reports to the agents that may coordinate.
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
            self.execute(context, command, now);
        }
    }

    fn execute<P: Transport, C: Clock>(
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
                let map_content = match order.wanted {
                    Action::Use(switch) => self.contents.get(&switch.map).cloned(),
                    _ => None,
                };
                context.call(move |_, engine| {
                    engine
                        .order(&order, map_content.as_ref())
                        .map(Input::Engine)
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
            let map_content = known.or_else(|| objects.read_map(map))?;
            Some(Input::Content {
                map,
                content: map_content,
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
        Some(roster_name(&seat.process))
    }

    fn retire<P: Transport, C: Clock>(&mut self, context: &Context<P, C>, retirement: Retirement) {
        tracing::warn!(?retirement, "rank's participation in the group ended");
        if retirement == Retirement::EngineLost {
            self.member = member(context);
            self.wake = None;
            self.reported = Sequence(0);
            self.step(context, Event::Start);
        }
    }
}

/// Sends a message of the switch protocol; it may be addressed to the own
/// process as well.
pub(crate) fn deliver<P: Transport, C: Clock>(
    context: &Context<P, C>,
    to: &Process,
    message: Message,
) {
    let body = Body::Switch(message);
    if *to == context.options.process {
        let from = to.clone();
        // The protocol repeats essential messages.
        let _ = context.inputs.try_send(Input::Message { from, body });
    } else {
        context.send(to, body);
    }
}

fn member<P, C>(context: &Context<P, C>) -> Member {
    let options = &context.options;
    Member::new(options.rank, incarnation_name(options), options.switch)
}

/// Returns the name of this incarnation of the process: a seat must not pass to
/// a process that was restarted under the same name.
pub(crate) fn incarnation_name(options: &crate::Options) -> Process {
    Process::new(format!(
        "{}{INCARNATION_SEPARATOR}{}",
        options.process, options.incarnation
    ))
}

/// Returns the name of the process on the roster.
fn roster_name(name: &Process) -> Process {
    let name = name.as_str();
    Process::new(
        name.rsplit_once(INCARNATION_SEPARATOR)
            .map_or(name, |(place, _)| place),
    )
}

fn group(found: Option<(Version, View)>) -> Option<Input> {
    let (version, view) = found?;
    Some(Input::Group {
        requester: Requester::Member,
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
