//! What one entry knows of its endpoints.

use std::time::Duration;

use cactusnotch_base::Table;
use cactusnotch_base::clock::Instant;
use cactusnotch_base::name::Endpoint;
use rand::Rng;

use crate::attempt::End;
use crate::average::Average;
use crate::choice::{Choice, Error, Reason};
use crate::row::{Density, Reference, Row};
use crate::selection::{Candidate, Selection};
use crate::{Attempt, Load, Member, Options, Report, Request, Service, State, Withheld};

/// What one entry knows of its endpoints, and the decision made from it.
#[derive(Debug)]
pub struct Router {
    options: Options,
    /// The endpoints, sorted by name.
    rows: Vec<Row>,
    pools: Table<Service, Pool>,
    candidates: Vec<Candidate>,
}

/// The endpoints of one service and what was measured over all of them.
#[derive(Debug, Default)]
struct Pool {
    /// Positions in [`Router::rows`].
    members: Vec<usize>,
    first: Average,
    step: Average,
    residence: Average,
    /// The other entries' load for each slot.
    others: Density,
}

impl Pool {
    fn reference(&self) -> Reference {
        Reference {
            others: self.others,
            first: self.first.get().unwrap_or(1.0),
            step: self.step.get(),
        }
    }

    /// Returns how long a request holds its slot, in seconds.
    fn residence(&self, options: &Options) -> f64 {
        let declared = options.residence.as_secs_f64();
        self.residence.get().unwrap_or(declared)
    }
}

impl Router {
    /// Creates a router that knows no endpoints.
    #[must_use]
    pub const fn new(options: Options) -> Self {
        Self {
            options,
            rows: Vec::new(),
            pools: Table::new(),
            candidates: Vec::new(),
        }
    }

    /// Replaces the options, from the next decision on.
    pub fn set_options(&mut self, options: Options) {
        self.options = options;
        for row in &mut self.rows {
            row.distance = distance(&self.options, &row.member);
        }
    }

    /// Replaces the roster. What was measured of endpoints that stay is kept;
    /// a new one counts as unreachable until [`Router::set_state`].
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
        self.index();
    }

    /// Sets whether an endpoint takes new work.
    pub fn set_state(&mut self, endpoint: &Endpoint, state: State) {
        if let Some(at) = self.position(endpoint) {
            self.rows[at].state = state;
        }
    }

    /// Leaves an endpoint to itself until a moment while others take work, or no
    /// longer.
    pub fn avoid(&mut self, endpoint: &Endpoint, until: Option<Instant>) {
        if let Some(at) = self.position(endpoint) {
            self.rows[at].avoided = until;
        }
    }

    /// Sends an endpoint no request for a time, whatever others take, or no longer withholds
    /// them.
    pub fn withhold(&mut self, endpoint: &Endpoint, withheld: Option<Withheld>) {
        if let Some(at) = self.position(endpoint) {
            self.rows[at].withheld = withheld;
        }
    }

    /// Returns whether an endpoint takes new work, if the roster names it.
    #[must_use]
    pub fn state(&self, endpoint: &Endpoint) -> Option<State> {
        self.position(endpoint).map(|at| self.rows[at].state)
    }

    /// Returns this entry's own load at an endpoint.
    #[must_use]
    pub fn own_load(&self, endpoint: &Endpoint) -> Load {
        self.position(endpoint)
            .map_or_else(Load::default, |at| self.rows[at].own)
    }

    /// Returns how many more requests this entry may send to the endpoints of
    /// a service at once, if each may hold `ahead` times as many as it has
    /// slots. It is never less than an equal part among the entries; one that is withheld
    /// has none.
    #[must_use]
    pub fn headroom(&self, service: &Service, ahead: f64, now: Instant) -> u32 {
        let Some(pool) = self.pools.get(service) else {
            return 0;
        };
        let rows = pool.members.iter().map(|&at| &self.rows[at]);
        let serving = rows.filter(|row| row.state == State::Serving);
        let serving = serving.filter(|row| row.withheld(now).is_none());
        whole(serving.map(|row| row.room(ahead)).sum())
    }

    /// Returns how long a request of a service holds its slot, as measured.
    #[must_use]
    pub fn residence(&self, service: &Service) -> Duration {
        let pool = self.pools.get(service);
        pool.map_or(self.options.residence, |pool| {
            Duration::from_secs_f64(pool.residence(&self.options).max(0.0))
        })
    }

    /// Returns the services that are on offer, in order.
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

    /// Takes a load report. One that says the endpoint is leaving withdraws
    /// it; only [`Router::set_state`] makes it serve again.
    pub fn apply_report(&mut self, endpoint: &Endpoint, report: &Report, now: Instant) {
        if let Some(at) = self.position(endpoint) {
            self.rows[at].set_report(report, now);
        }
    }

    /// Chooses an endpoint for a request.
    ///
    /// # Errors
    ///
    /// Fails if no endpoint offers the service, none takes new work, all that do are
    /// withheld, or the request has been tried at all that do. The request has not left
    /// the entry then.
    pub fn choose(
        &mut self,
        request: &Request<'_>,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Result<Choice, Error> {
        let (selection, members) = self.select(request.service, now).ok_or(Error::Unknown)?;
        let residence = selection.residence;
        let pick = selection.run(members, request, rng)?;
        Ok(Choice {
            endpoint: self.rows[pick.row].member.name.clone(),
            reason: pick.reason,
            predicted: pick.predicted,
            wait: pick.wait,
            utilisation: whole(pick.utilisation),
            residence: Duration::from_secs_f64(residence),
            usual: pick.usual,
        })
    }

    /// Prepares a decision among the endpoints of a service.
    fn select(&mut self, service: &Service, now: Instant) -> Option<(Selection<'_>, &[usize])> {
        let pool = self.pools.get_mut(service)?;
        let selection = Selection {
            reference: pool.reference(),
            residence: pool.residence(&self.options),
            seen: &mut pool.others,
            options: &self.options,
            rows: &self.rows,
            now,
            candidates: &mut self.candidates,
        };
        Some((selection, &pool.members))
    }

    /// Notes that a request goes to the chosen endpoint.
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
            usual: choice.usual,
            wait: choice.wait,
            probe,
            started: now,
            first: None,
        }
    }

    /// Notes the first piece of an answer; later calls do nothing.
    pub fn first_piece(&mut self, attempt: &mut Attempt, now: Instant) {
        if attempt.first.is_some() {
            return;
        }
        attempt.first = Some(now);
        let ratio = attempt.slowness(now);
        if let Some(at) = self.position(&attempt.endpoint) {
            let row = &mut self.rows[at];
            row.own.backlog = row.own.backlog.saturating_sub(attempt.tokens);
            row.first.add(ratio, now);
        }
        if let Some(pool) = self.pools.get_mut(&attempt.service) {
            pool.first.add(ratio, now);
        }
    }

    /// Notes the end of an attempt.
    pub fn finish(&mut self, attempt: &Attempt, end: End, now: Instant) {
        if let Some(at) = self.position(&attempt.endpoint) {
            let row = &mut self.rows[at];
            release(row, attempt);
            judge(row, attempt, end, now, &self.options);
        }
        let End::Answered { pieces } = end else {
            return;
        };
        let step = attempt.step(pieces, now);
        if let (Some(step), Some(at)) = (step, self.position(&attempt.endpoint)) {
            self.rows[at].step.add(step, now);
        }
        if let Some(pool) = self.pools.get_mut(&attempt.service) {
            pool.residence.add(attempt.residence(now), now);
            if let Some(step) = step {
                pool.step.add(step, now);
            }
        }
    }

    fn position(&self, endpoint: &Endpoint) -> Option<usize> {
        self.rows
            .binary_search_by(|row| row.member.name.cmp(endpoint))
            .ok()
    }

    /// Rebuilds the positions of each service's endpoints.
    fn index(&mut self) {
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

/// Returns the whole part of a number of requests.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a number of free slots is not negative and far below 2^32"
)]
const fn whole(requests: f64) -> u32 {
    requests as u32
}

/// Takes an attempt off the entry's own load.
fn release(row: &mut Row, attempt: &Attempt) {
    row.own.requests = row.own.requests.saturating_sub(1);
    if attempt.first.is_none() {
        row.own.backlog = row.own.backlog.saturating_sub(attempt.tokens);
    }
}

/// Draws the conclusion on an endpoint's health.
fn judge(row: &mut Row, attempt: &Attempt, end: End, now: Instant, options: &Options) {
    match end {
        End::Answered { .. } => row.health.succeed(),
        End::Failed => row.health.fail(attempt.probe, now, options),
        End::Inconclusive if attempt.probe => row.health.abandon_probe(),
        End::Inconclusive => {}
    }
}

/// Returns the rank of an endpoint's distance.
fn distance(options: &Options, member: &Member) -> usize {
    options
        .nearest
        .iter()
        .position(|data_centre| *data_centre == member.data_centre)
        .unwrap_or(options.nearest.len())
}
