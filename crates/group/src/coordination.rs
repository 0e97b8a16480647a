//! The coordinator's part, in the agents that may coordinate.

use cactusnotch_base::clock::Instant;
use cactusnotch_base::{Clock, Table};
use cactusnotch_objects::object::Version;
use cactusnotch_placement::Map as Content;
use cactusnotch_popularity::Report;
use cactusnotch_switch::coordinator::{Command, Coordinator, Ending, Event};
use cactusnotch_switch::{Lease, Map, Message, View};

use crate::driver::Context;
use crate::input::{Input, Requester};
use crate::membership::{Membership, deliver, incarnation_name};
use crate::planning::Plans;
use crate::{Status, Transport};

/// The coordinator of a group, with its planner.
#[derive(Debug)]
pub(crate) struct Coordination {
    coordinator: Coordinator,
    wake: Option<Instant>,
    plans: Plans,
    /// The contents of wanted maps, by digest.
    wanted: Table<u64, Content>,
    /// The processes in the seats, by rank.
    seats: Vec<Option<cactusnotch_base::name::Process>>,
    applied: u64,
    given_up: u64,
}

impl Coordination {
    pub(crate) fn new<P: Transport, C: Clock>(context: &Context<P, C>) -> Self {
        let options = &context.options;
        Self {
            coordinator: Coordinator::new(incarnation_name(options), options.switch),
            wake: None,
            plans: Plans::new(&options.planning, context.clock.now()),
            wanted: Table::new(),
            seats: Vec::new(),
            applied: 0,
            given_up: 0,
        }
    }

    pub(crate) fn start<P: Transport, C: Clock>(&mut self, context: &Context<P, C>) {
        self.step(context, Event::Start);
    }

    pub(crate) fn wake(&self) -> Instant {
        let plan = self.plans.due();
        self.wake.map_or(plan, |wake| wake.min(plan))
    }

    pub(crate) fn update_status(&self, status: &mut Status) {
        status.fence = self.coordinator.fence();
        status.applied = self.applied;
        status.given_up = self.given_up;
    }

    pub(crate) fn tick<P: Transport, C: Clock>(
        &mut self,
        context: &Context<P, C>,
        membership: &Membership,
    ) {
        self.seats = membership.seats().collect();
        let now = context.clock.now();
        if self.wake.is_some_and(|wake| wake <= now) {
            self.wake = None;
            self.step(context, Event::Wake);
        }
        if self.plans.due() > now {
            return;
        }
        let is_free = self.coordinator.fence().is_some() && self.coordinator.is_idle();
        let current = membership.content().filter(|_| is_free);
        if let Some(map_content) = self.plans.next(current, &self.seats, now) {
            let digest = map_content.digest();
            self.wanted.insert(digest, map_content);
            self.step(context, Event::SwitchTo { digest });
        }
    }

    /// Passes the reports of a rank's steps to the planner.
    pub(crate) fn observe<P: Transport, C: Clock>(
        &mut self,
        context: &Context<P, C>,
        reports: &[Report],
    ) {
        self.plans.observe(reports, context.clock.now());
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

    pub(crate) fn lease_read<P: Transport, C: Clock>(
        &mut self,
        context: &Context<P, C>,
        lease: Option<(Version, Lease)>,
    ) {
        self.step(context, Event::Lease(lease));
    }

    pub(crate) fn recorded<P: Transport, C: Clock>(&mut self, context: &Context<P, C>, map: Map) {
        self.step(context, Event::MapRecorded(map));
    }

    fn step<P: Transport, C: Clock>(&mut self, context: &Context<P, C>, event: Event) {
        let now = context.clock.now();
        for command in self.coordinator.step(event, now) {
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
            Command::ReadLease => {
                context.call(|objects, _| {
                    objects
                        .read_lease()
                        .map(|found| Input::Lease(found.object()))
                });
            }
            Command::WriteLease { version, lease } => {
                context.call(move |objects, _| {
                    let found = objects.write_lease(version, &lease)?;
                    Some(Input::Lease(found.object()))
                });
            }
            Command::ReadGroup => context.call(|objects, _| group(objects.read_group())),
            Command::WriteGroup { version, view } => {
                context.call(move |objects, _| group(objects.write_group(version, &view)));
            }
            Command::RecordMap(map) => self.record(context, map),
            Command::Send { to, message } => {
                if let Some(Some(process)) = self.seats.get(usize::from(to.0)) {
                    deliver(context, process, message);
                }
            }
            Command::Wake(after) => {
                let wake = now + after;
                self.wake = Some(self.wake.map_or(wake, |set| set.min(wake)));
            }
            Command::Ended(ending) => self.ended(ending),
            Command::LeaseLost => tracing::info!("another agent coordinates the group now"),
        }
    }

    fn record<P: Transport, C: Clock>(&self, context: &Context<P, C>, map: Map) {
        let Some(map_content) = self.wanted.get(&map.digest).cloned() else {
            return;
        };
        context.call(move |objects, _| {
            objects
                .record(map, &map_content)
                .then_some(Input::Recorded {
                    map,
                    content: map_content,
                })
        });
    }

    fn ended(&mut self, ending: Ending) {
        match ending {
            Ending::Applied(_, map) => {
                self.applied += 1;
                tracing::info!(epoch = %map.epoch, "all ranks use the map");
            }
            Ending::Vetoed(id, reason) => {
                self.given_up += 1;
                tracing::info!(%id, ?reason, "switch abandoned");
            }
            Ending::Abandoned => {
                self.given_up += 1;
                tracing::info!("switch abandoned before it was proposed");
            }
        }
        self.wanted = Table::new();
    }
}

fn group(found: Option<(Version, View)>) -> Option<Input> {
    let (version, view) = found?;
    Some(Input::Group {
        requester: Requester::Coordinator,
        version,
        view,
    })
}
