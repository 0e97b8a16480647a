//! One entry's view of its endpoints.

use std::time::Duration;

use cactusnotch_base::Table;
use cactusnotch_base::clock::Instant;
use cactusnotch_base::name::Endpoint;
use rand::Rng;

use crate::attempt::End;
use crate::average::Average;
use crate::choice::{Choice, Error, Reason};
use crate::decay::{Decay, Moment};
use crate::row::{LoadEstimate, Reference, Row};
use crate::selection::{Candidate, Selection};
use crate::{Attempt, Group, Load, Member, Options, Report, Request, Service, State, Withheld};

/// One entry's view of its endpoints, and the routing decisions based on it.
#[derive(Debug)]
pub struct Router {
    options: Options,
    /// The endpoints, sorted by name.
    rows: Vec<Row>,
    pools: Table<Service, Pool>,
    /// How many times to the first token were measured, wrapping around.
    samples: u32,
    candidates: Vec<Candidate>,
}

/// The endpoints of one service and the measurements over all of them.
#[derive(Debug, Default)]
struct Pool {
    /// Positions in [`Router::rows`].
    members: Vec<usize>,
    first: Average,
    step: Average,
    service_time: Average,
    /// The mean load of the other entries per slot.
    others: LoadEstimate,
}

impl Pool {
    fn reference(&self, decay: Decay, moment: Moment) -> Reference {
        Reference {
            others: self.others,
            first: self.first.get().unwrap_or(1.0),
            step: self.step.get(),
            decay,
            moment,
        }
    }

    /// Returns how long a request occupies a slot, in seconds.
    fn service_time(&self, options: &Options) -> f64 {
        let declared = options.service_time.as_secs_f64();
        self.service_time.get().unwrap_or(declared)
    }
}

impl Router {
    /// Creates a router without endpoints.
    #[must_use]
    pub const fn new(options: Options) -> Self {
        Self {
            options,
            rows: Vec::new(),
            pools: Table::new(),
            samples: 0,
            candidates: Vec::new(),
        }
    }

    /// Replaces the options.
    pub fn set_options(&mut self, options: Options) {
        self.options = options;
        for row in &mut self.rows {
            row.distance = distance(&self.options, &row.member);
        }
    }

    /// Replaces the roster. Endpoints that remain keep their measurements; new
    /// ones count as unreachable until [`Router::set_state`].
    pub fn set_members(&mut self, members: &[Member]) {
        let mut rows: Vec<Row> = Vec::with_capacity(members.len());
        for member in members {
            let distance = distance(&self.options, member);
            let row = match self.position(&member.name) {
                Some(at) => {
                    let mut row = self.rows[at].clone();
                    row.set_member(member.clone(), distance);
                    row
                }
                None => Row::new(member.clone(), distance),
            };
            rows.push(row);
        }
        rows.sort_by(|a, b| a.member.name.cmp(&b.member.name));
        rows.dedup_by(|a, b| a.member.name == b.member.name);
        self.rows = rows;
        self.rebuild_pools();
    }

    /// Sets whether an endpoint accepts new requests.
    pub fn set_state(&mut self, endpoint: &Endpoint, state: State) {
        if let Some(at) = self.position(endpoint) {
            self.rows[at].state = state;
        }
    }

    /// Moves an endpoint to another group; it keeps its measurements.
    pub fn set_group(&mut self, endpoint: &Endpoint, group: Group) {
        if let Some(at) = self.position(endpoint) {
            self.rows[at].member.group = group;
        }
    }

    /// Returns the load of this entry's own requests on each endpoint, in order of the names.
    pub fn own_loads(&self) -> impl Iterator<Item = (&Member, Load)> {
        self.rows.iter().map(|row| (&row.member, row.own))
    }

    /// Avoids an endpoint until the given time while others accept requests; `None`
    /// ends this.
    pub fn avoid(&mut self, endpoint: &Endpoint, until: Option<Instant>) {
        if let Some(at) = self.position(endpoint) {
            self.rows[at].avoided = until;
        }
    }

    /// Withholds requests from an endpoint, even if no other endpoint serves; `None` ends
    /// this.
    pub fn withhold(&mut self, endpoint: &Endpoint, withheld: Option<Withheld>) {
        if let Some(at) = self.position(endpoint) {
            self.rows[at].withheld = withheld;
        }
    }

    /// Returns whether an endpoint accepts new requests, or `None` if the roster lacks it.
    #[must_use]
    pub fn state(&self, endpoint: &Endpoint) -> Option<State> {
        self.position(endpoint).map(|at| self.rows[at].state)
    }

    /// Returns the load of this entry's own requests on an endpoint.
    #[must_use]
    pub fn own_load(&self, endpoint: &Endpoint) -> Load {
        self.position(endpoint)
            .map_or_else(Load::default, |at| self.rows[at].own)
    }

    /// Returns how many more requests this entry may send to the endpoints of
    /// a service if each may hold `overcommit` times its slots. Each endpoint
    /// contributes at least an equal share among the entries, except that
    /// withheld endpoints contribute nothing.
    #[must_use]
    pub fn headroom(&self, service: &Service, overcommit: f64, now: Instant) -> u32 {
        let Some(pool) = self.pools.get(service) else {
            return 0;
        };
        let rows = pool.members.iter().map(|&at| &self.rows[at]);
        let serving = rows.filter(|row| row.state == State::Serving);
        let serving = serving.filter(|row| row.withheld(now).is_none());
        round_down(serving.map(|row| row.headroom(overcommit)).sum())
    }

    /// Returns the measured time that a request of a service occupies a slot.
    #[must_use]
    pub fn service_time(&self, service: &Service) -> Duration {
        let pool = self.pools.get(service);
        pool.map_or(self.options.service_time, |pool| {
            Duration::from_secs_f64(pool.service_time(&self.options).max(0.0))
        })
    }

    /// Returns the services that the endpoints offer, in order.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.pools.keys()
    }

    /// Returns the plain service with the longest prefix that covers `path`.
    #[must_use]
    pub fn service_of(&self, path: &str) -> Option<&Service> {
        self.services()
            .filter(|service| service.covers(path))
            .max_by_key(|service| service.prefix_len())
    }

    /// Applies a load report. A report of a leaving endpoint ends its service;
    /// only [`Router::set_state`] makes it serve again.
    pub fn apply_report(&mut self, endpoint: &Endpoint, report: &Report, now: Instant) {
        if let Some(at) = self.position(endpoint) {
            self.rows[at].set_report(report, now);
        }
    }

    /// Selects an endpoint for a request.
    ///
    /// # Errors
    ///
    /// Fails if no endpoint offers the service, no endpoint is serving, or all serving
    /// endpoints are withheld or have been tried. The request has then not left the
    /// entry.
    pub fn choose(
        &mut self,
        request: &Request<'_>,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Result<Choice, Error> {
        let (selection, members) = self.select(request.service, now).ok_or(Error::Unknown)?;
        let service_time = selection.service_time;
        let pick = selection.run(members, request, rng)?;
        Ok(Choice {
            endpoint: self.rows[pick.row].member.name.clone(),
            reason: pick.reason,
            predicted: pick.predicted,
            wait: pick.wait,
            utilisation: round_down(pick.utilisation),
            service_time: Duration::from_secs_f64(service_time),
            baseline: pick.baseline,
        })
    }

    /// Prepares a selection among the endpoints of a service.
    fn select(&mut self, service: &Service, now: Instant) -> Option<(Selection<'_>, &[usize])> {
        let (decay, moment) = (self.decay(), self.moment(now));
        let pool = self.pools.get_mut(service)?;
        let selection = Selection {
            reference: pool.reference(decay, moment),
            service_time: pool.service_time(&self.options),
            others_mean: &mut pool.others,
            options: &self.options,
            rows: &self.rows,
            now,
            candidates: &mut self.candidates,
        };
        Some((selection, &pool.members))
    }

    /// Records that a request is sent to the chosen endpoint.
    pub fn start(&mut self, choice: &Choice, request: &Request<'_>, now: Instant) -> Attempt {
        let probe = choice.reason == Reason::Probe;
        if let Some(at) = self.position(&choice.endpoint) {
            let row = &mut self.rows[at];
            row.own.requests += 1;
            row.own.backlog = row.own.backlog.saturating_add(request.tokens);
            if probe {
                row.health.begin_probe();
            }
        }
        Attempt {
            endpoint: choice.endpoint.clone(),
            service: request.service.clone(),
            tokens: request.tokens,
            baseline: choice.baseline,
            wait: choice.wait,
            probe,
            started: now,
            first: None,
        }
    }

    /// Records the first piece of a response; later calls have no effect.
    pub fn first_piece(&mut self, attempt: &mut Attempt, now: Instant) {
        if attempt.first.is_some() {
            return;
        }
        attempt.first = Some(now);
        let position = self.position(&attempt.endpoint);
        if let Some(at) = position {
            let own = &mut self.rows[at].own;
            own.backlog = own.backlog.saturating_sub(attempt.tokens);
        }
        self.samples = self.samples.wrapping_add(1);
        let (decay, moment) = (self.decay(), self.moment(now));
        let ratio = attempt.slowness(now);
        if let Some(at) = position {
            self.rows[at].first.add(ratio, decay, moment);
        }
        if let Some(pool) = self.pools.get_mut(&attempt.service) {
            pool.first.add(ratio, decay, moment);
        }
    }

    /// Records the end of an attempt.
    pub fn finish(&mut self, attempt: &Attempt, end: End, now: Instant) {
        if let Some(at) = self.position(&attempt.endpoint) {
            let row = &mut self.rows[at];
            subtract_load(row, attempt);
            update_health(row, attempt, end, now, &self.options);
        }
        let End::Answered { pieces } = end else {
            return;
        };
        let (decay, moment) = (self.decay(), self.moment(now));
        let step = attempt.step(pieces, now);
        if let (Some(step), Some(at)) = (step, self.position(&attempt.endpoint)) {
            self.rows[at].step.add(step, decay, moment);
        }
        if let Some(pool) = self.pools.get_mut(&attempt.service) {
            let time = attempt.service_time(now);
            pool.service_time.add(time, decay, moment);
            if let Some(step) = step {
                pool.step.add(step, decay, moment);
            }
        }
    }

    fn decay(&self) -> Decay {
        let endpoints = u32::try_from(self.rows.len()).unwrap_or(u32::MAX);
        let half_samples = self
            .options
            .slowness_half_requests
            .saturating_mul(endpoints);
        Decay {
            half_life: self.options.slowness_half_life,
            half_samples: f64::from(half_samples.max(1)),
        }
    }

    const fn moment(&self, time: Instant) -> Moment {
        Moment {
            time,
            samples: self.samples,
        }
    }

    fn position(&self, endpoint: &Endpoint) -> Option<usize> {
        self.rows
            .binary_search_by(|row| row.member.name.cmp(endpoint))
            .ok()
    }

    /// Rebuilds the pools from the rows.
    fn rebuild_pools(&mut self) {
        for (_, pool) in self.pools.iter_mut() {
            pool.members.clear();
        }
        for (at, row) in self.rows.iter().enumerate() {
            for service in &row.member.services {
                let pool = self
                    .pools
                    .get_or_insert_with(service.clone(), Pool::default);
                pool.members.push(at);
            }
        }
        self.pools.retain(|_, pool| !pool.members.is_empty());
    }
}

/// Rounds a number of requests down.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a number of free slots is not negative and far below 2^32"
)]
const fn round_down(requests: f64) -> u32 {
    requests as u32
}

/// Subtracts an attempt from the entry's own load.
fn subtract_load(row: &mut Row, attempt: &Attempt) {
    row.own.requests = row.own.requests.saturating_sub(1);
    if attempt.first.is_none() {
        row.own.backlog = row.own.backlog.saturating_sub(attempt.tokens);
    }
}

/// Updates an endpoint's failure history.
fn update_health(row: &mut Row, attempt: &Attempt, end: End, now: Instant, options: &Options) {
    match end {
        End::Answered { .. } => row.health.succeed(),
        End::Failed => row.health.fail(attempt.probe, now, options),
        End::Inconclusive if attempt.probe => row.health.abandon_probe(),
        End::Inconclusive => {}
    }
}

/// Returns the position of an endpoint's data centre in [`Options::nearest`]; unlisted ones
/// come last.
fn distance(options: &Options, member: &Member) -> usize {
    options
        .nearest
        .iter()
        .position(|data_centre| *data_centre == member.data_centre)
        .unwrap_or(options.nearest.len())
}
