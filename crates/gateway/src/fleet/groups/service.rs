//! The groups of one service.

use std::time::Duration;

use cactusnotch_base::clock::Instant;
use cactusnotch_overload::{Ceiling, Model, Options, allowance, model};
use cactusnotch_route as route;
use rand::Rng;

use super::Group;
use super::modelled::Modelled;
use crate::configuration::Engine;
use crate::peer::Load;

/// How long a group without members is kept.
const MEMORY_TIME: Duration = Duration::from_mins(1);
/// The time from the first report of a group in a new epoch within which its other endpoints
/// report: agents send a report as soon as the group opens.
const SETTLE_TIME: Duration = Duration::from_millis(50);
/// Parts of one, by which the experts' share of the work is stated.
const THOUSAND: f64 = 1_000.0;

/// The groups of one service.
#[derive(Debug, Default)]
pub(super) struct Service {
    /// The groups in the order in which they were first seen.
    groups: Vec<Group>,
    /// The limits that the configuration yields, for groups whose leader states none.
    modelled: Modelled,
    options: Options,
    max_event_gap: Duration,
    /// When the next round is due; `None` if at once.
    next_round: Option<Instant>,
    /// Whether a group has just formed, so that most of its endpoints have yet to report.
    is_settling: bool,
    /// The number of the latest group.
    latest: u32,
}

impl Service {
    /// Applies the operators' configuration; `gap` is the longest gap between events that all
    /// callers accept.
    pub(super) fn configure(&mut self, engine: &Engine, gap: Duration, options: &Options) {
        let experts = engine.shape.map_or(0, |shape| shape.expert_part);
        let model = Model {
            slots: engine.slots,
            step: engine.step,
            per_request: engine.per_request,
            stride: engine.stride,
            expert_share: f64::from(experts) / THOUSAND,
            max_event_gap: gap,
        };
        self.modelled = Modelled {
            usual: model.ceiling(model::SHIFT_SKEW, 0.0),
            forming: model.ceiling(model::MAP_0_SKEW, 0.0),
        };
        self.options = *options;
        self.max_event_gap = gap;
    }

    pub(super) const fn max_event_gap(&self) -> Duration {
        self.max_event_gap
    }

    /// Applies the group and the limit of a load report; returns the group's number.
    pub(super) fn apply(&mut self, service: &str, load: &Load, now: Instant) -> route::Group {
        let Some(stated) = &load.group else {
            return route::Group::default();
        };
        let found = self
            .groups
            .iter()
            .position(|group| group.id != route::Group::default() && group.name == stated.name);
        let at = found.unwrap_or_else(|| {
            self.latest += 1;
            let id = route::Group(self.latest);
            self.groups.push(Group::new(id, &stated.name, now));
            self.groups.len() - 1
        });
        let group = &mut self.groups[at];
        group.seen = now;
        let before = group.limit.epoch();
        if group.limit.apply(stated.epoch, load.limit, now) || found.is_none() {
            group.start_epoch();
            (self.next_round, self.is_settling) = (None, true);
            tracing::info!(
                service,
                group = stated.name,
                epoch = stated.epoch,
                before,
                limit = load.limit.map(Ceiling::per_slot),
                "group of ranks in a new epoch"
            );
        }
        group.id
    }

    /// Returns whether a round is due.
    pub(super) fn is_due(&self, now: Instant) -> bool {
        self.next_round.is_none_or(|at| at <= now)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &Group> {
        self.groups.iter()
    }

    pub(super) fn iter_mut(&mut self) -> impl Iterator<Item = &mut Group> {
        self.groups.iter_mut()
    }

    /// Returns a group; the endpoints of no group form one that is named after the service.
    pub(super) fn get_mut(
        &mut self,
        service: &str,
        id: route::Group,
        now: Instant,
    ) -> Option<&mut Group> {
        let found = self.groups.iter().position(|group| group.id == id);
        if let Some(at) = found {
            return self.groups.get_mut(at);
        }
        if id != route::Group::default() {
            return None;
        }
        self.groups.push(Group::new(id, service, now));
        self.groups.last_mut()
    }

    pub(super) fn clear_tallies(&mut self) {
        for group in &mut self.groups {
            group.tally = super::group::Tally::default();
        }
    }

    /// Starts a round: computes how many requests this entry may hold at each group, from the
    /// tallies.
    pub(super) fn renew(&mut self, name: &str, sharers: u32, now: Instant, rng: &mut impl Rng) {
        let is_settling = std::mem::take(&mut self.is_settling);
        let pause = if is_settling {
            SETTLE_TIME
        } else {
            allowance::ROUND
        };
        self.next_round = Some(now + pause);
        let reserve = self.options.class_reserve;
        for group in &mut self.groups {
            group.set_limit(name, self.modelled, self.options.group_ceiling, now);
            group.renew(sharers, reserve, now, rng);
        }
        let is_kept = |group: &Group| now.saturating_duration_since(group.seen) < MEMORY_TIME;
        for group in self.groups.iter().filter(|group| !is_kept(group)) {
            group.clear_metrics();
        }
        self.groups.retain(is_kept);
    }

    /// Sets the metrics of groups that are no longer kept.
    pub(super) fn clear_metrics(&self) {
        self.groups.iter().for_each(Group::clear_metrics);
    }
}
