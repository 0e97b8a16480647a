//! The choice among the groups of a service.

use std::time::Duration;

use cactusnotch_base::clock::Instant;
use cactusnotch_overload::{Candidate, Ceiling, Reach, candidate};
use cactusnotch_route::{self as route, Attempt, Choice, Load, Member, choice};
use rand::rngs::SmallRng;

use super::{Fleet, Group};
use crate::fleet::Criteria;

/// What was known of a group when it was chosen.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Snapshot {
    pub(crate) group: String,
    /// The requests per slot at the start of the round.
    pub(crate) fill: f64,
    pub(crate) limit: Ceiling,
    /// The age of the limit, if the leader stated it.
    pub(crate) limit_age: Option<Duration>,
}

/// Why no endpoint was chosen.
#[derive(Debug)]
pub(crate) enum Shortage {
    /// No endpoint is eligible.
    None(choice::Error),
    /// No group with an eligible endpoint has capacity for the class.
    Busy,
}

/// An endpoint chosen for a request, with the group that it was drawn in.
pub(crate) type Chosen = (Choice, Attempt, Option<Snapshot>);

impl Fleet {
    /// Returns whether requests of a service are distributed over groups.
    pub(crate) fn has_groups(&self, service: &str) -> bool {
        self.groups.services.contains(service)
    }

    /// Chooses a group with capacity for a request of this `reach`, then one of its endpoints, and
    /// counts the request there. Capacity does not bind all requests that were sent before.
    pub(crate) fn start_in_group(
        &mut self,
        service: &str,
        reach: Reach,
        criteria: &Criteria<'_>,
        now: Instant,
        rng: &mut SmallRng,
    ) -> Result<Chosen, Shortage> {
        let (mut groups, mut candidates) = self.candidates(service, reach, criteria);
        let mut error = None;
        while let Some(at) = candidate::draw(&candidates, rng) {
            candidates.swap_remove(at);
            let group = groups.swap_remove(at);
            match self.start(service, criteria, Some(group), now, rng) {
                Ok((choice, attempt)) => {
                    let snapshot = self.record_start(service, group, now);
                    return Ok((choice, attempt, snapshot));
                }
                Err(ineligible) => error = Some(ineligible),
            }
        }
        // The groups that remain have no room.
        if criteria.is_bound && !groups.is_empty() {
            self.record_shortage(service, &groups);
            return Err(Shortage::Busy);
        }
        if let Some(error) = error.filter(|_| criteria.is_bound) {
            return Err(Shortage::None(error));
        }
        let (choice, attempt) = self
            .start(service, criteria, None, now, rng)
            .map_err(Shortage::None)?;
        Ok((choice, attempt, None))
    }

    /// Returns the groups with an eligible endpoint, with the room that they have for the request.
    /// Groups without recent load reports count only if there are no others.
    fn candidates(
        &self,
        service: &str,
        reach: Reach,
        criteria: &Criteria<'_>,
    ) -> (Vec<route::Group>, Vec<Candidate>) {
        let (Some(groups), Some(router)) =
            (self.groups.services.get(service), self.routers.get(service))
        else {
            return (Vec::new(), Vec::new());
        };
        let eligible: Vec<_> = groups
            .iter()
            .filter(|group| group.is_open())
            .filter_map(|group| Some((group, own(group, router.own_loads(), criteria)?)))
            .collect();
        let any_reported = eligible.iter().any(|(group, _)| group.is_reported());
        let considered = eligible
            .iter()
            .filter(|(group, _)| group.is_reported() == any_reported);
        considered
            .map(|(group, own)| (group.id, group.candidate(reach, *own)))
            .unzip()
    }

    /// Records that a request starts in a group; returns what is known of the group.
    fn record_start(
        &mut self,
        service: &str,
        group: route::Group,
        now: Instant,
    ) -> Option<Snapshot> {
        let groups = self.groups.services.get_mut(service)?;
        let group = groups.iter_mut().find(|row| row.id == group)?;
        group.allowance.record_start();
        let (limit, received) = group.in_force;
        Some(Snapshot {
            group: group.name.clone(),
            fill: group.fill(),
            limit,
            limit_age: received.map(|at| now.saturating_duration_since(at)),
        })
    }

    /// Records that a request found no room in the groups `full`.
    fn record_shortage(&mut self, service: &str, full: &[route::Group]) {
        let Some(groups) = self.groups.services.get_mut(service) else {
            return;
        };
        for group in groups.iter_mut().filter(|group| full.contains(&group.id)) {
            group.allowance.record_shortage();
        }
    }
}

/// Returns the number of this entry's requests in a group, or `None` if the request may go to
/// none of its endpoints.
fn own<'a>(
    group: &Group,
    members: impl Iterator<Item = (&'a Member, Load)>,
    criteria: &Criteria<'_>,
) -> Option<u32> {
    let (mut own, mut is_eligible) = (0, false);
    for (member, load) in members.filter(|(member, _)| member.group == group.id) {
        own += load.requests;
        let is_within = criteria
            .within
            .is_none_or(|within| within.contains(&member.data_centre));
        is_eligible |= is_within && !criteria.tried.contains(&member.name);
    }
    is_eligible.then_some(own)
}
