//! The selection among the endpoints of a service.

use std::cmp::Reverse;
use std::time::Duration;

use cactusnotch_base::clock::Instant;
use cactusnotch_base::name::DataCentre;
use rand::Rng;
use rand::seq::SliceRandom;

use crate::choice::{Error, Reason};
use crate::health::Eligibility;
use crate::row::{LoadEstimate, Reference, Row};
use crate::{Options, Request, State, Withheld, prefix, rendezvous};

/// The slowness up to which affinity prefers an endpoint, relative to the others.
const AFFINITY_SLOWNESS: f64 = 1.5;

/// The minimum number of slots, weighted by the freshness of their reports, for a mean.
const SLOTS_MIN: f64 = 0.01;

/// An endpoint that may receive the request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Candidate {
    /// The endpoint's position in [`Selection::rows`].
    pub(crate) row: usize,
    eligibility: Eligibility,
    distance: usize,
    avoided: bool,
    slots: f64,
    slowness: f64,
    requests: f64,
    backlog: f64,
    weight: u64,
}

/// One routing decision: the candidates and the data to compare them.
pub(crate) struct Selection<'a> {
    pub(crate) options: &'a Options,
    pub(crate) rows: &'a [Row],
    pub(crate) reference: Reference,
    /// Receives the mean load of the other entries as computed by this decision.
    pub(crate) others_mean: &'a mut LoadEstimate,
    /// How long a request of the service occupies a slot, in seconds.
    pub(crate) service_time: f64,
    pub(crate) now: Instant,
    pub(crate) candidates: &'a mut Vec<Candidate>,
}

/// The selected endpoint.
pub(crate) struct Pick {
    pub(crate) row: usize,
    pub(crate) reason: Reason,
    pub(crate) predicted: Duration,
    pub(crate) wait: Duration,
    /// The estimated number of requests on the endpoint, in percent of its slots.
    pub(crate) utilisation: f64,
    pub(crate) baseline: Duration,
}

impl Selection<'_> {
    /// Selects among the endpoints at the positions `members`.
    pub(crate) fn run(
        mut self,
        members: &[usize],
        request: &Request<'_>,
        rng: &mut impl Rng,
    ) -> Result<Pick, Error> {
        self.collect(members, request)?;
        if request.may_probe
            && let Some(probe) = self
                .candidates
                .iter()
                .find(|c| c.eligibility == Eligibility::ProbeDue)
        {
            return Ok(self.pick(*probe, Reason::Probe, request));
        }
        let panic = self.drop_ejected();
        let (tier, reason) = self.nearest_tier();
        let reason = if panic { Reason::Panic } else { reason };
        if reason != Reason::Full
            && let Some(preferred) = self.preferred(tier, request)
        {
            return Ok(self.pick(preferred, Reason::Affinity, request));
        }
        let chosen = self.cheapest_of_sample(tier, request, rng);
        Ok(self.pick(chosen, reason, request))
    }

    /// Collects the serving endpoints that may receive the request and have not been tried.
    fn collect(&mut self, members: &[usize], request: &Request<'_>) -> Result<(), Error> {
        let mut tally = Tally::default();
        let mut mean = Mean::default();
        self.candidates.clear();
        for &at in members {
            let row = &self.rows[at];
            let is_within =
                |data_centres: &[DataCentre]| data_centres.contains(&row.member.data_centre);
            if !request.allowed_data_centres.is_none_or(is_within) {
                continue;
            }
            match row.state {
                State::Leaving => tally.leaving += 1,
                State::Unreachable => tally.unreachable += 1,
                State::Serving => {
                    tally.serving += 1;
                    let (fresh, others) = row.decayed_report(
                        self.options,
                        self.service_time,
                        self.reference.others.requests,
                        self.now,
                    );
                    mean.add(fresh, row.slots, others);
                    let is_in_group = request.group.is_none_or(|group| group == row.member.group);
                    if !is_in_group || request.tried.contains(&row.member.name) {
                        continue;
                    }
                    if let Some(withheld) = row.withheld(self.now) {
                        tally.add_withheld(withheld);
                    } else {
                        let others = within_group(row, others, request);
                        let candidate = self.candidate(at, row, fresh, others);
                        self.candidates.push(candidate);
                    }
                }
            }
        }
        mean.store(self.others_mean);
        if self.candidates.is_empty() {
            return Err(tally.error());
        }
        if self.candidates.iter().any(|candidate| !candidate.avoided) {
            self.candidates.retain(|candidate| !candidate.avoided);
        }
        Ok(())
    }

    /// Estimates an endpoint's load: the entry's own requests are exact, those of
    /// other entries decay from the last report to the service's mean.
    fn candidate(&self, at: usize, row: &Row, fresh: f64, others: LoadEstimate) -> Candidate {
        let stale = (1.0 - fresh) * row.slots;
        let LoadEstimate { requests, backlog } = self.reference.others;
        Candidate {
            row: at,
            eligibility: row.health.eligibility(self.now),
            distance: row.distance,
            avoided: row.is_avoided(self.options, self.now),
            slots: row.slots,
            slowness: row.slowness(&self.reference),
            requests: f64::from(row.own.requests) + fresh * others.requests + stale * requests,
            backlog: f64::from(row.own.backlog) + fresh * others.backlog + stale * backlog,
            weight: 0,
        }
    }

    /// Drops ejected endpoints, or returns `true` if too many are ejected to do so.
    fn drop_ejected(&mut self) -> bool {
        let eligible = |c: &Candidate| c.eligibility == Eligibility::Eligible;
        let all = self.candidates.len();
        let ejected = all - self.candidates.iter().filter(|c| eligible(c)).count();
        if ejected == 0 {
            return false;
        }
        let panic = fraction(ejected, all) > self.options.ejected_max;
        if !panic {
            self.candidates.retain(eligible);
        }
        panic
    }

    /// Moves the free endpoints of the nearest data centre with free endpoints to
    /// the front and returns their number. If no endpoint is free, returns the
    /// number of all candidates.
    fn nearest_tier(&mut self) -> (usize, Reason) {
        let full = self.options.full;
        let is_free = |c: &Candidate| c.requests + 1.0 <= (c.slots * full).max(1.0);
        let nearest = self.candidates.iter().map(|c| c.distance).min();
        let with_free = self.candidates.iter().filter(|c| is_free(c));
        let Some(distance) = with_free.map(|c| c.distance).min() else {
            return (self.candidates.len(), Reason::Full);
        };
        let mut tier = 0;
        for at in 0..self.candidates.len() {
            let candidate = &self.candidates[at];
            if candidate.distance == distance && is_free(candidate) {
                self.candidates.swap(tier, at);
                tier += 1;
            }
        }
        let spilled = Some(distance) != nearest;
        (tier, if spilled { Reason::Spill } else { Reason::Load })
    }

    /// Returns the first endpoint in the preference order of the request's
    /// prefix whose load is within the bound.
    fn preferred(&mut self, tier: usize, request: &Request<'_>) -> Option<Candidate> {
        let width = self.options.affinity_width.min(tier);
        if width == 0 {
            return None;
        }
        let key = prefix::key(request.prefix, self.options.affinity_blocks)?;
        let rows = self.rows;
        let tier = &mut self.candidates[..tier];
        for candidate in tier.iter_mut() {
            candidate.weight = rendezvous::weight(key, rows[candidate.row].hash);
        }
        tier.select_nth_unstable_by_key(width - 1, |c| Reverse(c.weight));
        tier[..width].sort_unstable_by_key(|c| Reverse(c.weight));
        let bound = Bound::new(tier, self.options);
        let preferred = &tier[..width];
        preferred.iter().copied().find(|c| bound.allows(c, request))
    }

    /// Samples a few endpoints at random and returns the one with the lowest expected cost.
    fn cheapest_of_sample(
        &mut self,
        tier: usize,
        request: &Request<'_>,
        rng: &mut impl Rng,
    ) -> Candidate {
        let amount = self.options.sample_size.max(1);
        let (sample, _) = self.candidates[..tier].partial_shuffle(rng, amount);
        let sample = &*sample;
        let mut best = sample[0];
        let mut least = f64::INFINITY;
        for candidate in sample {
            let cost = cost(candidate, self.options, self.service_time, request);
            if cost < least {
                (best, least) = (*candidate, cost);
            }
        }
        best
    }

    fn pick(&self, candidate: Candidate, reason: Reason, request: &Request<'_>) -> Pick {
        let wait = wait(&candidate, self.service_time);
        let predicted = wait + processing(&candidate, self.options, request);
        let baseline = Duration::try_from_secs_f64(predicted / candidate.slowness);
        let scale = |time: f64| Duration::try_from_secs_f64(time * self.reference.first);
        Pick {
            row: candidate.row,
            utilisation: 100.0 * candidate.requests / candidate.slots,
            reason,
            predicted: scale(predicted).unwrap_or(Duration::MAX),
            wait: scale(wait).unwrap_or(Duration::MAX),
            baseline: baseline.unwrap_or(Duration::MAX),
        }
    }
}

/// The numbers of a service's endpoints by state, to explain a lack of candidates.
#[derive(Default)]
struct Tally {
    leaving: usize,
    unreachable: usize,
    serving: usize,
    /// The serving endpoints that have not been tried and are withheld.
    withheld: usize,
    /// The earliest time at which a withheld endpoint may receive a request, if known.
    first: Option<Instant>,
}

impl Tally {
    fn add_withheld(&mut self, withheld: Withheld) {
        self.withheld += 1;
        self.first = match (self.first, withheld.ends_at()) {
            (Some(first), Some(end)) => Some(first.min(end)),
            (first, end) => first.or(end),
        };
    }

    /// Returns the reason for the lack of candidates.
    const fn error(&self) -> Error {
        if self.withheld > 0 {
            Error::Withheld {
                endpoints: self.withheld,
                first: self.first,
            }
        } else if self.serving > 0 {
            Error::Exhausted {
                endpoints: self.serving,
            }
        } else {
            Error::Unavailable {
                leaving: self.leaving,
                unreachable: self.unreachable,
            }
        }
    }
}

/// The mean of the other entries' load, weighted by the reports' freshness.
#[derive(Default)]
struct Mean {
    slots: f64,
    sum: LoadEstimate,
}

impl Mean {
    fn add(&mut self, fresh: f64, slots: f64, others: LoadEstimate) {
        self.slots += fresh * slots;
        self.sum.requests += fresh * others.requests;
        self.sum.backlog += fresh * others.backlog;
    }

    /// Stores the mean, unless the reports are too few or too old.
    fn store(&self, mean: &mut LoadEstimate) {
        if self.slots >= SLOTS_MIN {
            mean.requests = self.sum.requests / self.slots;
            mean.backlog = self.sum.backlog / self.slots;
        }
    }
}

/// The load up to which a preferred endpoint is chosen.
struct Bound<'a> {
    options: &'a Options,
    requests: f64,
    backlog: f64,
}

impl<'a> Bound<'a> {
    /// Computes the bound from the mean load of `tier`, including the new request.
    fn new(tier: &[Candidate], options: &'a Options) -> Self {
        let capacity: f64 = tier.iter().map(capacity).sum();
        let requests: f64 = tier.iter().map(|c| c.requests).sum();
        let backlog: f64 = tier.iter().map(|c| c.backlog).sum();
        Self {
            options,
            requests: (requests + 1.0) / capacity,
            backlog: backlog / capacity,
        }
    }

    fn allows(&self, candidate: &Candidate, request: &Request<'_>) -> bool {
        let capacity = capacity(candidate);
        let bound = self.options.affinity_bound * self.requests;
        let requests = (bound.max(self.options.affinity_floor) * capacity).ceil();
        let backlog = self.backlog * capacity + f64::from(request.tokens);
        candidate.requests + 1.0 <= requests
            && candidate.backlog <= backlog
            && candidate.slowness <= AFFINITY_SLOWNESS
    }
}

/// Returns the other entries' load without the surcharge if endpoints of one group are
/// compared.
fn within_group(row: &Row, others: LoadEstimate, request: &Request<'_>) -> LoadEstimate {
    if request.group.is_none() {
        return others;
    }
    LoadEstimate {
        requests: (others.requests - f64::from(row.surcharge)).max(0.0),
        ..others
    }
}

/// Returns the number of an endpoint's slots, divided by its slowness.
fn capacity(candidate: &Candidate) -> f64 {
    candidate.slots / candidate.slowness
}

/// Returns the expected time until a slot is free, in seconds.
fn wait(candidate: &Candidate, service_time: f64) -> f64 {
    let ahead = (candidate.requests + 1.0 - candidate.slots).max(0.0);
    candidate.slowness * service_time * ahead / candidate.slots
}

/// Returns the expected time from a free slot to the first token, in seconds.
fn processing(candidate: &Candidate, options: &Options, request: &Request<'_>) -> f64 {
    let tokens = candidate.backlog + f64::from(request.tokens);
    let time = options.base_time.as_secs_f64() + options.token_time.as_secs_f64() * tokens;
    candidate.slowness * time
}

/// Returns the expected cost of sending the request to an endpoint, in seconds.
fn cost(candidate: &Candidate, options: &Options, service_time: f64, request: &Request<'_>) -> f64 {
    let hops = u32::try_from(candidate.distance).map_or(f64::MAX, f64::from);
    let occupancy = candidate.requests / capacity(candidate);
    wait(candidate, service_time)
        + processing(candidate, options, request)
        + hops * options.hop_time.as_secs_f64()
        + occupancy * options.base_time.as_secs_f64()
}

/// Returns `part / whole` for numbers of endpoints.
fn fraction(part: usize, whole: usize) -> f64 {
    let float = |n: usize| u32::try_from(n).map_or(f64::MAX, f64::from);
    float(part) / float(whole)
}
