//! The state that an entry keeps for one endpoint.

use std::f64::consts::LN_2;

use cactusnotch_base::clock::Instant;
use xxhash_rust::xxh3::xxh3_64;

use crate::average::Average;
use crate::decay::{Decay, Moment};
use crate::health::Health;
use crate::{Load, Member, Options, Report, State, Withheld};

/// Bounds of a measured slowness: a single extreme sample must not exclude an endpoint.
const SLOWNESS: std::ops::RangeInclusive<f64> = 0.1..=10.0;

/// The part by which an endpoint counts as faster that other requests of the service have passed
/// by for long: more than the measurements of equal endpoints differ, so that it is measured again.
const EXPLORATION: f64 = 0.25;

/// The additional decay of a load report for each standard deviation of the
/// load. All entries send requests to slots that were reported as free, so a
/// reported difference in load vanishes faster than requests turn over. See
/// `docs/design/routing.md`.
const REFILL: f64 = 3.0;

/// The state that an entry keeps for one endpoint.
#[derive(Debug, Clone)]
pub(crate) struct Row {
    pub(crate) member: Member,
    /// The hash of the endpoint's name, for the rendezvous ranking of prefixes.
    pub(crate) hash: u64,
    /// The position of the data centre in [`Options::nearest`].
    pub(crate) distance: usize,
    pub(crate) state: State,
    pub(crate) slots: f64,
    /// The load of this entry's own requests.
    pub(crate) own: Load,
    /// The load of the other entries' requests, as last reported, with the surcharge.
    pub(crate) others: Load,
    /// The requests in `others` that don't count among endpoints of the same group.
    pub(crate) surcharge: u32,
    /// The number of entries that send requests, as last reported.
    pub(crate) sharers: f64,
    /// When the last applied report was made.
    reported_at: Option<Instant>,
    /// Until when the endpoint is avoided while others accept requests.
    pub(crate) avoided: Option<Instant>,
    /// Until when the endpoint receives no request, even if no other endpoint serves.
    pub(crate) withheld: Option<Withheld>,
    pub(crate) health: Health,
    /// Measured times to the first token, as multiples of the predicted baseline.
    pub(crate) first: Average,
    /// Measured times between tokens, in seconds.
    pub(crate) step: Average,
}

/// An estimated load, either of a whole endpoint or per slot.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct LoadEstimate {
    pub(crate) requests: f64,
    pub(crate) backlog: f64,
}

/// The mean values over a service's endpoints, used where an endpoint has no
/// recent value of its own.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Reference {
    /// The other entries' load per slot.
    pub(crate) others: LoadEstimate,
    /// The mean of [`Row::first`].
    pub(crate) first: f64,
    /// The mean of [`Row::step`].
    pub(crate) step: Option<f64>,
    /// How measurements lose their weight until `moment`.
    pub(crate) decay: Decay,
    pub(crate) moment: Moment,
}

impl Row {
    pub(crate) fn new(member: Member, distance: usize) -> Self {
        Self {
            hash: xxh3_64(member.name.as_str().as_bytes()),
            slots: f64::from(member.slots.max(1)),
            member,
            distance,
            state: State::default(),
            own: Load::default(),
            others: Load::default(),
            surcharge: 0,
            sharers: 1.0,
            reported_at: None,
            avoided: None,
            withheld: None,
            health: Health::default(),
            first: Average::default(),
            step: Average::default(),
        }
    }

    /// Applies a new roster entry and keeps the measurements.
    pub(crate) fn set_member(&mut self, member: Member, distance: usize) {
        if self.reported_at.is_none() {
            self.slots = f64::from(member.slots.max(1));
        }
        self.member = member;
        self.distance = distance;
    }

    /// Applies a load report unless a newer one was applied before.
    pub(crate) fn set_report(&mut self, report: &Report, now: Instant) {
        let made_at = now.checked_sub(report.age).unwrap_or(now);
        if self.reported_at.is_some_and(|at| at > made_at) {
            return;
        }
        self.reported_at = Some(made_at);
        self.slots = f64::from(report.slots.max(1));
        self.sharers = f64::from(report.sharers.max(1));
        self.surcharge = report.surcharge;
        let total = Load {
            requests: report.total.requests.saturating_add(report.surcharge),
            ..report.total
        };
        self.others = total.without(report.mine.unwrap_or(self.own));
        if self.state != State::Unreachable {
            self.state = self.state.max(report.state);
        }
    }

    /// Returns the weight of the last report, and the reported load minus the
    /// prompt backlog processed since.
    ///
    /// Requests turn over within their service time, so the weight decays at that
    /// rate, and faster because all entries fill the slots that were reported as
    /// free. The backlog shrinks at the known rate of prompt processing.
    pub(crate) fn decayed_report(
        &self,
        options: &Options,
        service_time: f64,
        mean: f64,
        now: Instant,
    ) -> (f64, LoadEstimate) {
        let Some(at) = self.reported_at else {
            return (0.0, LoadEstimate::default());
        };
        let age = now.saturating_duration_since(at);
        let half_life = options
            .report_half_life
            .as_secs_f64()
            .min(LN_2 * service_time / (1.0 + REFILL * (mean * self.slots).sqrt()));
        let weight = (-age.as_secs_f64() / half_life).exp2();
        let drained = age.div_duration_f64(options.token_time) * self.member.speed;
        let backlog = (f64::from(self.others.backlog) - drained).max(0.0);
        (
            weight,
            LoadEstimate {
                requests: f64::from(self.others.requests),
                backlog,
            },
        )
    }

    /// Returns whether the endpoint is avoided while others accept requests: by
    /// [`Router::avoid`](crate::Router::avoid), or because its reports have stopped.
    pub(crate) fn is_avoided(&self, options: &Options, now: Instant) -> bool {
        let overdue = options.report_timeout.zip(self.reported_at);
        let overdue =
            overdue.is_some_and(|(timeout, at)| now.saturating_duration_since(at) > timeout);
        overdue || self.avoided.is_some_and(|until| until > now)
    }

    /// Returns until when requests are withheld from the endpoint, if they still are.
    pub(crate) fn withheld(&self, now: Instant) -> Option<Withheld> {
        self.withheld.filter(|withheld| withheld.is_active(now))
    }

    /// Returns how many more requests this entry may send if the endpoint may
    /// hold `overcommit` times its slots: what the other entries leave, but at
    /// least an equal share, since their reported load may be outdated.
    pub(crate) fn headroom(&self, overcommit: f64) -> f64 {
        let all = self.slots * overcommit;
        let left = all - f64::from(self.others.requests);
        let share = all / self.sharers;
        (left.max(share) - f64::from(self.own.requests)).max(0.0)
    }

    /// Returns the endpoint's slowness relative to the others of its service.
    pub(crate) fn slowness(&self, reference: &Reference) -> f64 {
        let &Reference { decay, moment, .. } = reference;
        let first = self.first.decayed(reference.first, decay, moment) / reference.first;
        let step = reference
            .step
            .map_or(1.0, |mean| self.step.decayed(mean, decay, moment) / mean);
        let stale = 1.0 - self.first.freshness(decay, moment);
        let expected = first.max(step) * (1.0 - EXPLORATION * stale);
        expected.clamp(*SLOWNESS.start(), *SLOWNESS.end()) / self.member.speed
    }
}
