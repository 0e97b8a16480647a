//! The decisions of the agent beside one rank, without input or output.

use cactusnotch_base::clock::Instant;

use crate::codec::Order;
use crate::coordinator::{Coordinator, Event};
use crate::member::Member;
use crate::message::{Phase, Standing};
use crate::plan;
use crate::state::{Maps, Place};
use crate::{Shape, Slowdown};

/// The decisions of the agent beside one rank: its own part in each round,
/// and the lead if it is rank 0.
#[derive(Debug, Default)]
pub struct Rank {
    /// Its own part.
    pub member: Member,
    /// The lead, at rank 0.
    pub coordinator: Option<Coordinator>,
}

/// What follows from a look at the endpoint.
#[derive(Debug, Default, PartialEq)]
pub struct Step {
    /// The order that the endpoint needs.
    pub order: Option<Order>,
    /// What happened, for the log.
    pub event: Option<Event>,
    /// Whether the other ranks have to be told the round.
    pub announce: bool,
    /// The rank that is to hold the group at this rank's endpoint, and before which pass.
    pub ask: Option<(u16, u64)>,
    /// The ranks that have to be told the round themselves: to say that they are there, or
    /// since they did not say that they have heard of it.
    pub call: Vec<u16>,
}

impl Rank {
    /// Takes what the endpoint says of its rank and maps.
    pub fn observe(&mut self, place: &Place, maps: &Maps) {
        self.member.observe(place, maps);
        let leads = self.coordinator.as_ref();
        if leads.is_some_and(|coordinator| coordinator.place() != place) {
            self.coordinator = None;
        }
    }

    /// Takes the lead if this is rank 0; returns whether that is new. `term`
    /// is a number that no other life of this process has.
    pub fn lead(&mut self, place: &Place, shape: Shape, options: plan::Options, term: u64) -> bool {
        let new = place.rank == 0 && self.coordinator.is_none();
        if new {
            self.coordinator = Some(Coordinator::new(place.clone(), shape, options, term));
        }
        new
    }

    /// Returns the pace of the slowest rank, as far as this one leads.
    #[must_use]
    pub fn slowest(&self) -> Slowdown {
        let lead = self.coordinator.as_ref();
        lead.map_or_else(Slowdown::default, Coordinator::slowest)
    }

    /// Tells whether the leader has to be told which experts this rank holds.
    #[must_use]
    pub fn tells_held(&self) -> bool {
        let lead = self
            .coordinator
            .as_ref()
            .is_some_and(|lead| lead.map().is_none());
        lead || self.member.known().is_none() || self.member.is_asked()
    }

    /// Goes on from a fresh look at the endpoint.
    pub fn step(&mut self, mut own: Standing, now: Instant) -> Step {
        let maps = own.maps;
        let mut step = Step::default();
        if let Some(coordinator) = &mut self.coordinator {
            own.term = Some(coordinator.round().term);
            coordinator.hear(own, now);
            let before = (coordinator.round().version, coordinator.round().phase);
            (step.order, step.event) = coordinator.step(&maps, now);
            let round = coordinator.round();
            // Only the rank that has held the group is told that it is held.
            let meets = matches!(round.phase, Phase::Meet { .. });
            step.announce = before != (round.version, round.phase) && !meets;
            let round = round.clone();
            step.ask = coordinator.ask(&maps, now);
            step.call = coordinator.calls(now).to_vec();
            step.call.extend(coordinator.retell(now));
            if let Some((version, map)) = coordinator.map()
                && self.member.known() != Some(version)
                && maps.current == version
            {
                self.member.know(version, map.clone());
            }
            self.member.take(round);
        }
        if step.order.is_none() {
            step.order = self.member.order(&maps);
        }
        step
    }
}
