//! What an entry knows of one endpoint.

use std::f64::consts::LN_2;

use cactusnotch_base::clock::Instant;
use xxhash_rust::xxh3::xxh3_64;

use crate::average::Average;
use crate::health::Health;
use crate::{Load, Member, Options, Report, State, Withheld};

/// Bounds of a measured slowness, so that one sample cannot exile an endpoint.
const SLOWNESS: std::ops::RangeInclusive<f64> = 0.1..=10.0;

/// How much faster than by turnover alone a reported difference of load
/// vanishes, for each standard deviation of the load. Chosen by measurement,
/// see `docs/design/routing.md`.
const REFILL: f64 = 3.0;

/// What an entry knows of one endpoint.
#[derive(Debug, Clone)]
pub(crate) struct Row {
    pub(crate) member: Member,
    /// The hash of the name, by which prefixes prefer endpoints.
    pub(crate) hash: u64,
    /// The rank of the data centre's distance.
    pub(crate) distance: usize,
    pub(crate) state: State,
    pub(crate) slots: f64,
    /// This entry's own requests.
    pub(crate) own: Load,
    /// The requests of the other entries, as last reported.
    pub(crate) others: Load,
    /// The entries that send requests, as last reported.
    pub(crate) sharers: f64,
    reported: Option<Instant>,
    /// Until when the endpoint is left to itself while others take work.
    pub(crate) avoided: Option<Instant>,
    /// Until when the endpoint gets no request, whatever others take.
    pub(crate) withheld: Option<Withheld>,
    pub(crate) health: Health,
    /// Measured first-token times as multiples of the undisturbed prediction.
    pub(crate) first: Average,
    /// Measured times between tokens, in seconds.
    pub(crate) step: Average,
}

/// An estimated load, of an endpoint or for each slot.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct Density {
    pub(crate) requests: f64,
    pub(crate) backlog: f64,
}

/// The reference values of a service's endpoints, which stand in for what is
/// not known of one of them.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Reference {
    /// The other entries' load for each slot.
    pub(crate) others: Density,
    /// The mean of [`Row::first`].
    pub(crate) first: f64,
    /// The mean of [`Row::step`].
    pub(crate) step: Option<f64>,
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
            sharers: 1.0,
            reported: None,
            avoided: None,
            withheld: None,
            health: Health::default(),
            first: Average::default(),
            step: Average::default(),
        }
    }

    /// Takes over the roster's statement and keeps what was measured.
    pub(crate) fn set_member(&mut self, member: Member, distance: usize) {
        if self.reported.is_none() {
            self.slots = f64::from(member.slots.max(1));
        }
        self.member = member;
        self.distance = distance;
    }

    /// Takes a report unless a newer one is known.
    pub(crate) fn set_report(&mut self, report: &Report, now: Instant) {
        let made = now.checked_sub(report.age).unwrap_or(now);
        if self.reported.is_some_and(|at| at > made) {
            return;
        }
        self.reported = Some(made);
        self.slots = f64::from(report.slots.max(1));
        self.sharers = f64::from(report.sharers.max(1));
        self.others = report.total.without(report.mine.unwrap_or(self.own));
        if self.state != State::Unreachable {
            self.state = self.state.max(report.state);
        }
    }

    /// Returns the weight of the last report and what is left of the load it
    /// named.
    ///
    /// Requests turn over within the time that they hold a slot, and faster
    /// still since all entries fill up what was reported as free; prompts are
    /// processed at a known rate, by which the backlog has shrunk since.
    pub(crate) fn reported(
        &self,
        options: &Options,
        residence: f64,
        mean: f64,
        now: Instant,
    ) -> (f64, Density) {
        let Some(at) = self.reported else {
            return (0.0, Density::default());
        };
        let age = now.saturating_duration_since(at);
        let half_life = options
            .report_half_life
            .as_secs_f64()
            .min(LN_2 * residence / (1.0 + REFILL * (mean * self.slots).sqrt()));
        let weight = (-age.as_secs_f64() / half_life).exp2();
        let drained = age.div_duration_f64(options.token_time) * self.member.speed;
        let backlog = (f64::from(self.others.backlog) - drained).max(0.0);
        (
            weight,
            Density {
                requests: f64::from(self.others.requests),
                backlog,
            },
        )
    }

    /// Tells whether the endpoint is left to itself while others take work: it is to be
    /// avoided, or has fallen silent.
    pub(crate) fn is_avoided(&self, options: &Options, now: Instant) -> bool {
        let silent = options.report_timeout.zip(self.reported);
        let silent = silent.is_some_and(|(most, at)| now.saturating_duration_since(at) > most);
        silent || self.avoided.is_some_and(|until| until > now)
    }

    /// Returns until when the endpoint gets no request, if it is withheld still.
    pub(crate) fn withheld(&self, now: Instant) -> Option<Withheld> {
        self.withheld.filter(|withheld| withheld.is_active(now))
    }

    /// Returns how many more requests this entry may send, if the endpoint may
    /// hold `ahead` times as many as it has slots: what the others leave, and
    /// an equal part in any case, since they may have left more by now.
    pub(crate) fn room(&self, ahead: f64) -> f64 {
        let all = self.slots * ahead;
        let left = all - f64::from(self.others.requests);
        let part = all / self.sharers;
        (left.max(part) - f64::from(self.own.requests)).max(0.0)
    }

    /// Returns how slow the endpoint is against the others of its service.
    pub(crate) fn slowness(&self, reference: &Reference, options: &Options, now: Instant) -> f64 {
        let half_life = options.slowness_half_life;
        let first = self.first.get_towards(reference.first, half_life, now) / reference.first;
        let step = reference.step.map_or(1.0, |mean| {
            self.step.get_towards(mean, half_life, now) / mean
        });
        first.max(step).clamp(*SLOWNESS.start(), *SLOWNESS.end()) / self.member.speed
    }
}
