//! One group of ranks.

use std::time::Duration;

use cactusnotch_base::clock::Instant;
use cactusnotch_overload::{Allowance, Candidate, Ceiling, Limit, Occupancy, Reach};
use cactusnotch_route as route;
use cactusnotch_telemetry::metric;
use rand::Rng;

use super::modelled::Modelled;
use crate::journal::millis;

/// The most requests of other entries for each slot of an endpoint that count. More would
/// have no further effect but keep the group closed for as long as the allowance takes to
/// accept their end: 20 s after a single garbled report.
const OTHERS_MAX: u32 = 2;

/// A group of ranks, as this entry knows it.
#[derive(Debug)]
pub(super) struct Group {
    /// The number by which the router knows it.
    pub(super) id: route::Group,
    pub(super) name: String,
    /// The limit that its leader states.
    pub(super) limit: Limit,
    pub(super) allowance: Allowance,
    /// The sums over its endpoints.
    pub(super) tally: Tally,
    /// The limit of this round, and when it was received if the leader stated it.
    pub(super) in_force: (Ceiling, Option<Instant>),
    /// The limit that was logged last, and whether the leader stated it.
    logged: Option<(Ceiling, bool)>,
    /// When it last had endpoints.
    pub(super) seen: Instant,
}

/// Sums over the endpoints of a group that this entry uses.
#[derive(Debug, Default)]
pub(super) struct Tally {
    /// The requests of this entry.
    pub(super) own: u32,
    /// The requests of other entries, at endpoints with recent load reports.
    others: u32,
    /// The slots of these endpoints.
    slots: u32,
    /// The number of these endpoints.
    reported: u32,
    /// The number of these that should get no requests while others have room.
    avoided: u32,
    /// The sum of the reports' ages.
    ages: Duration,
    /// The slots of endpoints without a recent load report.
    silent_slots: u32,
}

impl Tally {
    /// Adds an endpoint with a recent load report. One that states no slots has one, as for the
    /// router.
    pub(super) fn add_reported(&mut self, slots: u32, others: u32, age: Duration, avoided: bool) {
        self.slots = self.slots.saturating_add(slots.max(1));
        let others = others.min(slots.max(1).saturating_mul(OTHERS_MAX));
        self.others = self.others.saturating_add(others);
        self.reported += 1;
        self.avoided += u32::from(avoided);
        self.ages += age;
    }

    /// Adds an endpoint without a recent load report.
    pub(super) fn add_silent(&mut self, slots: u32) {
        self.silent_slots = self.silent_slots.saturating_add(slots.max(1));
    }

    fn occupancy(&self, sharers: u32) -> Occupancy {
        Occupancy {
            own: self.own,
            others: self.others,
            slots: self.slots,
            sharers,
            age: self.ages / self.reported.max(1),
        }
    }
}

impl Group {
    pub(super) fn new(id: route::Group, name: &str, now: Instant) -> Self {
        Self {
            id,
            name: name.to_owned(),
            limit: Limit::default(),
            allowance: Allowance::default(),
            tally: Tally::default(),
            in_force: (Ceiling::default(), None),
            logged: None,
            seen: now,
        }
    }

    /// Discards what was known of an earlier epoch.
    pub(super) fn start_epoch(&mut self) {
        self.allowance = Allowance::default();
    }

    /// Returns whether endpoints of the group have reported their load recently.
    pub(super) const fn is_reported(&self) -> bool {
        self.tally.reported > 0
    }

    /// Returns whether the group may get requests.
    pub(super) const fn is_open(&self) -> bool {
        self.is_reported() || self.tally.silent_slots > 0
    }

    /// Returns the group's room for requests of this reach while the entry holds `own`.
    pub(super) fn candidate(&self, reach: Reach, own: u32) -> Candidate {
        Candidate {
            room: self.allowance.room(reach, own),
            is_preferred: self.tally.avoided < self.tally.reported,
        }
    }

    /// Determines the limit in force, bounded by `bound`: the stated one, or one that is
    /// `modelled` if that is too old or the group has just formed.
    pub(super) fn set_limit(
        &mut self,
        service: &str,
        modelled: Modelled,
        bound: Ceiling,
        now: Instant,
    ) {
        let stated = self.limit.stated(now);
        let unstated = if self.limit.is_forming(now) {
            modelled.forming
        } else {
            modelled.usual
        };
        let limit = stated.map_or(unstated, |(limit, _)| limit).min(bound);
        let age = stated.map(|(_, age)| age);
        self.in_force = (limit, age.and_then(|age| now.checked_sub(age)));
        let is_logged = self.logged.is_some_and(|(logged, was_stated)| {
            was_stated == stated.is_some() && !limit.differs(logged)
        });
        if is_logged || !self.is_open() {
            return;
        }
        self.logged = Some((limit, stated.is_some()));
        tracing::info!(
            service,
            group = self.name,
            epoch = self.limit.epoch(),
            limit = limit.per_slot(),
            age_ms = age.map(millis),
            stated = stated.is_some(),
            fill = self.fill(),
            "limit of a group in force"
        );
    }

    /// Starts a round: computes how many requests this entry may hold.
    pub(super) fn renew(&mut self, sharers: u32, reserve: f64, now: Instant, rng: &mut impl Rng) {
        let limit = self.in_force.0;
        if self.is_reported() {
            let occupancy = self.tally.occupancy(sharers);
            self.allowance.renew(&occupancy, limit, reserve, rng);
        } else {
            let slots = self.tally.silent_slots;
            self.allowance
                .renew_unreported(slots, sharers, limit, reserve, rng);
        }
        if self.is_open() {
            self.seen = now;
        }
        self.set_metrics(limit.per_slot(), self.fill());
    }

    /// Sets the metrics of a group that is no longer kept.
    pub(super) fn clear_metrics(&self) {
        self.set_metrics(0.0, 0.0);
    }

    fn set_metrics(&self, limit: f64, fill: f64) {
        let group = || self.name.clone();
        metrics::gauge!(metric::GATEWAY_GROUP_LIMIT, "group" => group()).set(limit);
        metrics::gauge!(metric::GATEWAY_GROUP_FILL, "group" => group()).set(fill);
    }

    /// Returns the requests per slot at endpoints with recent load reports.
    pub(super) fn fill(&self) -> f64 {
        let requests = self.tally.own.saturating_add(self.tally.others);
        f64::from(requests) / f64::from(self.tally.slots.max(1))
    }
}
