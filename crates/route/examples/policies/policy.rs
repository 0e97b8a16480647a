//! The router and the baseline policies behind a common interface.

use std::time::Duration;

use cactusnotch_base::clock::{self, Instant};
use cactusnotch_base::name::{DataCentre, Endpoint, Model};
use cactusnotch_route::attempt::End;
use cactusnotch_route::{Attempt, Member, Options, Report, Request, Router, Service, State};
use rand::Rng;
use rand::rngs::StdRng;

use crate::trace::{Job, Scenario};

/// A policy for selecting endpoints.
pub trait Policy {
    fn choose(
        &mut self,
        id: usize,
        job: &Job,
        tried: &[usize],
        now: Duration,
        rng: &mut StdRng,
    ) -> Option<usize>;
    fn report(&mut self, entry: usize, endpoint: usize, report: &Report, now: Duration);
    /// Returns the entries that receive an endpoint's reports.
    fn entries(&self, endpoint: usize) -> &[usize];
    fn first(&mut self, _id: usize, _now: Duration) {}
    fn finish(&mut self, _id: usize, _pieces: Option<u32>, _now: Duration) {}
    fn fail(&mut self, _id: usize, _now: Duration) {}
}

/// The endpoints of each entry, and the entries of each endpoint.
#[derive(Debug, Clone)]
pub struct Views {
    pub of_entry: Vec<Vec<usize>>,
    pub of_endpoint: Vec<Vec<usize>>,
}

impl Views {
    pub fn new(of_entry: Vec<Vec<usize>>, endpoints: usize) -> Self {
        let mut of_endpoint = vec![Vec::new(); endpoints];
        for (entry, view) in of_entry.iter().enumerate() {
            for &endpoint in view {
                of_endpoint[endpoint].push(entry);
            }
        }
        Self {
            of_entry,
            of_endpoint,
        }
    }

    pub fn full(scenario: &Scenario) -> Self {
        let all: Vec<usize> = (0..scenario.endpoints).collect();
        Self::new(vec![all; scenario.entries], scenario.endpoints)
    }
}

/// The baseline policies.
#[derive(Debug, Clone, Copy)]
pub enum Kind {
    Random,
    RoundRobin,
    LeastReported,
}

/// A baseline policy, which uses all endpoints.
pub struct Baseline {
    kind: Kind,
    views: Views,
    next: Vec<usize>,
    reported: Vec<Vec<u32>>,
}

impl Baseline {
    pub fn new(kind: Kind, scenario: &Scenario) -> Self {
        Self {
            kind,
            views: Views::full(scenario),
            next: (0..scenario.entries).collect(),
            reported: vec![vec![0; scenario.endpoints]; scenario.entries],
        }
    }

    fn least(&self, entry: usize, tried: &[usize], rng: &mut StdRng) -> Option<usize> {
        let untried = self.reported[entry]
            .iter()
            .enumerate()
            .filter(|(at, _)| !tried.contains(at));
        let key = |load: u32| (load, rng.random::<u32>());
        let mut key = key;
        untried
            .min_by_key(|&(_, &load)| key(load))
            .map(|(at, _)| at)
    }
}

impl Policy for Baseline {
    fn choose(
        &mut self,
        _: usize,
        job: &Job,
        tried: &[usize],
        _: Duration,
        rng: &mut StdRng,
    ) -> Option<usize> {
        let count = self.reported[job.entry].len();
        loop {
            let chosen = match self.kind {
                Kind::Random => rng.random_range(0..count),
                Kind::RoundRobin => {
                    self.next[job.entry] = (self.next[job.entry] + 1) % count;
                    self.next[job.entry]
                }
                Kind::LeastReported => return self.least(job.entry, tried, rng),
            };
            if !tried.contains(&chosen) {
                return Some(chosen);
            }
        }
    }

    fn report(&mut self, entry: usize, endpoint: usize, report: &Report, _: Duration) {
        self.reported[entry][endpoint] = report.total.requests;
    }

    fn entries(&self, endpoint: usize) -> &[usize] {
        &self.views.of_endpoint[endpoint]
    }
}

/// The router of this crate, one instance per entry.
pub struct Routed {
    routers: Vec<Router>,
    views: Views,
    names: Vec<Endpoint>,
    service: Service,
    attempts: Vec<Option<(usize, Attempt)>>,
    deadline: Option<Duration>,
    start: Instant,
}

impl Routed {
    pub fn new(scenario: &Scenario, jobs: usize, views: Views, options: &Options) -> Self {
        let service = Service::Model(Model::new("letters"));
        let names: Vec<Endpoint> = (0..scenario.endpoints)
            .map(|at| Endpoint::new(format!("{at:04}")))
            .collect();
        let member = |at: &usize| Member {
            name: names[*at].clone(),
            data_centre: DataCentre::new("a"),
            services: vec![service.clone()],
            slots: scenario.slots,
            speed: 1.0,
            group: cactusnotch_route::Group::default(),
        };
        let router = |view: &Vec<usize>| {
            let members: Vec<Member> = view.iter().map(member).collect();
            let mut router = Router::new(options.clone());
            router.set_members(&members);
            for member in &members {
                router.set_state(&member.name, State::Serving);
            }
            router
        };
        Self {
            routers: views.of_entry.iter().map(router).collect(),
            views,
            names,
            service,
            attempts: vec![None; jobs],
            deadline: scenario.refuse.then_some(scenario.deadline),
            start: clock::now(),
        }
    }
}

impl Policy for Routed {
    fn choose(
        &mut self,
        id: usize,
        job: &Job,
        tried: &[usize],
        now: Duration,
        rng: &mut StdRng,
    ) -> Option<usize> {
        let tried: Vec<Endpoint> = tried.iter().map(|&at| self.names[at].clone()).collect();
        let prefix = job.prefix.map(|(id, _)| u64::from(id));
        let request = Request {
            service: &self.service,
            tokens: job.tokens,
            prefix: prefix.as_slice(),
            tried: &tried,
            may_probe: tried.is_empty(),
            allowed_data_centres: None,
            group: None,
        };
        let now = self.start + now;
        let router = &mut self.routers[job.entry];
        let choice = router.choose(&request, now, rng).ok()?;
        if self
            .deadline
            .is_some_and(|deadline| choice.predicted + choice.service_time > deadline)
        {
            return None;
        }
        self.attempts[id] = Some((job.entry, router.start(&choice, &request, now)));
        self.names.binary_search(&choice.endpoint).ok()
    }

    fn report(&mut self, entry: usize, endpoint: usize, report: &Report, now: Duration) {
        self.routers[entry].apply_report(&self.names[endpoint], report, self.start + now);
    }

    fn entries(&self, endpoint: usize) -> &[usize] {
        &self.views.of_endpoint[endpoint]
    }

    fn first(&mut self, id: usize, now: Duration) {
        if let Some((entry, attempt)) = &mut self.attempts[id] {
            self.routers[*entry].first_piece(attempt, self.start + now);
        }
    }

    fn finish(&mut self, id: usize, pieces: Option<u32>, now: Duration) {
        if let Some((entry, attempt)) = self.attempts[id].take() {
            let end = pieces.map_or(End::Inconclusive, |pieces| End::Answered { pieces });
            self.routers[entry].finish(&attempt, end, self.start + now);
        }
    }

    fn fail(&mut self, id: usize, now: Duration) {
        if let Some((entry, attempt)) = self.attempts[id].take() {
            self.routers[entry].finish(&attempt, End::Failed, self.start + now);
        }
    }
}
