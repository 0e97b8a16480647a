//! The decisions of the agent beside one rank, without I/O.

use cactusnotch_base::clock::Instant;
use cactusnotch_overload::Change;

use crate::codec::Order;
use crate::coordinator::{Coordinator, Event};
use crate::former::Former;
use crate::member::Member;
use crate::message::{Phase, Status};
use crate::plan;
use crate::state::{Maps, Place};
use crate::{Shape, Slowdown};

/// The decisions of the agent beside one rank: its own part in each round, and those of the
/// leader if it is rank 0.
#[derive(Debug, Default)]
pub struct Rank {
    /// The decisions for its own endpoint.
    pub member: Member,
    /// The decisions of the leader, at rank 0.
    pub coordinator: Option<Coordinator>,
    /// What the last coordinator had estimated and measured.
    former: Option<Former>,
}

/// The results of one step.
#[derive(Debug, Default, PartialEq)]
pub struct Step {
    /// The order that the endpoint needs.
    pub order: Option<Order>,
    /// An event for the log.
    pub event: Option<Event>,
    /// A change of the limit for the log.
    pub limit: Option<Change>,
    /// Whether the round has to be announced to the other ranks.
    pub announce: bool,
    /// The rank that is to hold the group at this rank's endpoint, and before which pass.
    pub hold_request: Option<(u16, u64)>,
    /// The ranks that have to get the round directly: to confirm that they are responsive,
    /// or because they have not acknowledged it.
    pub notify: Vec<u16>,
}

impl Rank {
    /// Records the rank and maps that the endpoint reports.
    pub fn observe(&mut self, place: &Place, maps: &Maps) {
        self.member.observe(place, maps);
        let leads = self.coordinator.as_ref();
        if leads.is_some_and(|coordinator| coordinator.place() != place) {
            self.end_lead();
        }
    }

    /// Drops all state, as the endpoint has restarted, except what was estimated and measured
    /// of the demand and the engine under overload control: both remain the same.
    pub fn restart(&mut self) {
        self.end_lead();
        self.member = Member::default();
    }

    fn end_lead(&mut self) {
        if let Some(coordinator) = self.coordinator.take() {
            self.former = coordinator.into_former();
        }
    }

    /// Starts to lead if this is rank 0; returns whether that is new. `term` is a number
    /// that is unique to this incarnation of the process. If this process has led the group
    /// in a former epoch and its requests are limited, the first map is planned from the
    /// demand that it had estimated, and the limit starts from what it had measured.
    pub fn lead(&mut self, place: &Place, shape: Shape, options: plan::Options, term: u64) -> bool {
        let new = place.rank == 0 && self.coordinator.is_none();
        if new {
            let mut coordinator = Coordinator::new(place.clone(), shape, options, term);
            if let Some(former) = self.former.take() {
                coordinator.resume(former);
            }
            self.coordinator = Some(coordinator);
        }
        new
    }

    /// Returns the slowdown of the slowest rank, or the default if this rank does not lead.
    #[must_use]
    pub fn slowest(&self) -> Slowdown {
        let lead = self.coordinator.as_ref();
        lead.map_or_else(Slowdown::default, Coordinator::slowest)
    }

    /// Returns whether the leader needs a report of the experts that this rank holds.
    #[must_use]
    pub fn reports_held(&self) -> bool {
        let lead = self
            .coordinator
            .as_ref()
            .is_some_and(|lead| lead.map().is_none());
        lead || self.member.map_version().is_none() || self.member.is_held_requested()
    }

    /// Advances with a fresh state of the endpoint.
    pub fn step(&mut self, mut own: Status, now: Instant) -> Step {
        let maps = own.maps;
        let mut step = Step::default();
        if let Some(coordinator) = &mut self.coordinator {
            own.term = Some(coordinator.round().term);
            coordinator.record(own, now);
            let before = (coordinator.round().version, coordinator.round().phase);
            (step.order, step.event) = coordinator.step(&maps, now);
            let round = coordinator.round();
            // Only the rank that has held the group is notified of the hold.
            let confirming = matches!(round.phase, Phase::Meet { .. });
            let changed = before != (round.version, round.phase) && !confirming;
            step.limit = coordinator.update_limit(now);
            step.announce = coordinator.must_announce(changed, now);
            let round = coordinator.round().clone();
            step.hold_request = coordinator.hold_request(&maps, now);
            step.notify = coordinator.confirmation_targets(now).to_vec();
            step.notify.extend(coordinator.resend_targets(now));
            if let Some((version, map)) = coordinator.map()
                && self.member.map_version() != Some(version)
                && maps.current == version
            {
                self.member.set_map(version, map.clone());
            }
            self.member.update_limit(&round, now);
            self.member.update_round(round);
        }
        if step.order.is_none() {
            step.order = self.member.order(&maps);
        }
        step
    }
}
