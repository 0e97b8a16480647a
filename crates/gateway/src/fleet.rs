//! The endpoints that an entry knows, and the choice among them.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use cactusnotch_base::{Table, name};
use cactusnotch_route::{
    self as route, Attempt, Choice, Member, Report, Request, Router, State, attempt, choice,
};
use rand::rngs::SmallRng;

use crate::configuration::{Engine, Service};
use crate::endpoint::Endpoint;

/// The endpoints that are drawn and compared for a request: with all compared,
/// many entries send to the same idlest one at once.
const COMPARED: usize = 3;
/// What a crossing of data centres costs against an empty slot.
const HOP_TIME: Duration = Duration::from_millis(2);
/// How fast a failing endpoint is set aside, and for how long at first.
const FAILURES: u32 = 3;
const EJECTION: Duration = Duration::from_millis(700);
const EJECTION_MAX: Duration = Duration::from_secs(6);

/// An endpoint with what the entry believes of it.
#[derive(Debug, Clone)]
pub(crate) struct Row {
    pub(crate) endpoint: Endpoint,
    /// How long a pass of its group takes, and when that was told.
    pass: Option<(Duration, Instant)>,
    /// Until when it is used though the store no longer names it.
    missing_until: Option<Instant>,
}

/// How long an agent's word on passes counts; agents repeat it four times a
/// second.
const PASS_TIME: Duration = Duration::from_millis(1_500);

impl Row {
    fn pass(&self, now: Instant) -> Option<Duration> {
        let (pass, at) = self.pass?;
        (now.saturating_duration_since(at) < PASS_TIME).then_some(pass)
    }
}

/// The endpoints that an entry knows.
#[derive(Debug)]
pub(crate) struct Fleet {
    data_centre: name::DataCentre,
    rows: Table<String, Row>,
    routers: Table<String, Router>,
    /// When the first of the missing endpoints is to be dropped.
    expires: Option<Instant>,
}

impl Fleet {
    pub(crate) fn new(data_centre: &str) -> Self {
        Self {
            data_centre: name::DataCentre::new(data_centre),
            rows: Table::new(),
            routers: Table::new(),
            expires: None,
        }
    }

    /// Takes the services of a configuration.
    pub(crate) fn configure(&mut self, services: &[Service]) {
        self.routers
            .retain(|name, _| services.iter().any(|service| service.name == *name));
        for service in services {
            let options = self.options(service);
            self.routers
                .get_or_insert_with(service.name.clone(), || {
                    Router::new(route::Options::default())
                })
                .set_options(options);
        }
        let names: Vec<_> = services
            .iter()
            .map(|service| service.name.clone())
            .collect();
        for service in &names {
            self.refresh(service);
        }
    }

    fn options(&self, service: &Service) -> route::Options {
        let mut options = route::Options {
            choices: COMPARED,
            affinity_width: 0,
            failures: FAILURES,
            ejection: EJECTION,
            ejection_max: EJECTION_MAX,
            ..route::Options::default()
        };
        if let Some(engine) = &service.engine {
            pace(&mut options, engine);
        } else {
            options.nearest = vec![self.data_centre.clone()];
            options.hop_time = HOP_TIME;
        }
        options
    }

    /// Takes an endpoint's registration; returns whether anything changed.
    pub(crate) fn insert(&mut self, endpoint: Endpoint) -> bool {
        let known = self.rows.get(&endpoint.id);
        if known.is_some_and(|row| row.endpoint == endpoint && row.missing_until.is_none()) {
            return false;
        }
        let service = endpoint.service.clone();
        let row = Row {
            pass: known.and_then(|row| row.pass),
            endpoint,
            missing_until: None,
        };
        self.rows.insert(row.endpoint.id.clone(), row);
        self.refresh(&service);
        true
    }

    /// Takes that the store no longer names an endpoint, which is used until
    /// `until` if the store may have lost it.
    pub(crate) fn remove(&mut self, id: &str, until: Option<Instant>) {
        let Some(row) = self.rows.get_mut(id) else {
            return;
        };
        if let (Some(until), false) = (until, row.endpoint.leaving) {
            row.missing_until = Some(until);
            self.expires = Some(self.expires.map_or(until, |known| known.min(until)));
            return;
        }
        if let Some(row) = self.rows.remove(id) {
            self.refresh(&row.endpoint.service);
        }
    }

    /// Drops the endpoints that are still missing after an outage; returns
    /// their names.
    pub(crate) fn expire(&mut self, now: Instant) -> Vec<String> {
        if self.expires.is_none_or(|at| at > now) {
            return Vec::new();
        }
        let due = |row: &Row| row.missing_until.is_some_and(|until| until <= now);
        let gone: Vec<_> = self
            .rows
            .iter()
            .filter(|(_, row)| due(row))
            .map(|(id, _)| id.clone())
            .collect();
        for id in &gone {
            if let Some(row) = self.rows.remove(id) {
                self.refresh(&row.endpoint.service);
            }
        }
        self.expires = self.rows.values().filter_map(|row| row.missing_until).min();
        gone
    }

    /// Returns an endpoint.
    pub(crate) fn get(&self, id: &str) -> Option<&Endpoint> {
        self.rows.get(id).map(|row| &row.endpoint)
    }

    /// Returns all endpoints.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Endpoint> {
        self.rows.values().map(|row| &row.endpoint)
    }

    /// Tells whether an endpoint may get a request now.
    pub(crate) fn takes_work(&self, id: &str) -> bool {
        self.get(id).is_some_and(|endpoint| !endpoint.leaving)
    }

    /// Chooses an endpoint of `service` for a request and counts it there.
    pub(crate) fn start(
        &mut self,
        service: &str,
        tokens: u32,
        tried: &[name::Endpoint],
        may_probe: bool,
        now: Instant,
        rng: &mut SmallRng,
    ) -> Result<(Choice, Attempt), choice::Error> {
        let kind = kind(service);
        let request = Request {
            service: &kind,
            tokens,
            prefix: &[],
            tried,
            may_probe,
        };
        let router = self
            .routers
            .get_mut(service)
            .ok_or(choice::Error::Unknown)?;
        let choice = router.choose(&request, now, rng)?;
        let attempt = router.start(&choice, &request, now);
        Ok((choice, attempt))
    }

    /// Notes the first piece of an answer.
    pub(crate) fn first_piece(&mut self, service: &str, attempt: &mut Attempt, now: Instant) {
        if let Some(router) = self.routers.get_mut(service) {
            router.first_piece(attempt, now);
        }
    }

    /// Notes the end of an attempt.
    pub(crate) fn finish(
        &mut self,
        service: &str,
        attempt: &Attempt,
        end: attempt::End,
        now: Instant,
    ) {
        if let Some(router) = self.routers.get_mut(service) {
            router.finish(attempt, end, now);
        }
    }

    /// Takes how long a pass takes at the endpoint at `address`; returns its
    /// ratio to the least pass of its service.
    pub(crate) fn set_pass(&mut self, address: SocketAddr, pass: Duration, now: Instant) -> f64 {
        let mut service = None;
        for (_, row) in self.rows.iter_mut() {
            if row.endpoint.address == address {
                row.pass = Some((pass, now));
                service = Some(row.endpoint.service.clone());
            }
        }
        let of_service = |row: &&Row| Some(&row.endpoint.service) == service.as_ref();
        let passes = self
            .rows
            .values()
            .filter(of_service)
            .filter_map(|row| row.pass(now));
        let least = passes.filter(|pass| !pass.is_zero()).min();
        least.map_or(1.0, |least| pass.as_secs_f64() / least.as_secs_f64())
    }

    /// Returns how long a pass takes at an endpoint, if that was told lately.
    pub(crate) fn pass(&self, id: &str, now: Instant) -> Option<Duration> {
        self.rows.get(id)?.pass(now)
    }

    /// Takes a load report of the endpoint at `address`.
    pub(crate) fn report(&mut self, address: SocketAddr, report: &Report, now: Instant) {
        let found = self
            .rows
            .values()
            .find(|row| row.endpoint.address == address);
        let Some(row) = found else {
            return;
        };
        let name = name::Endpoint::new(row.endpoint.id.clone());
        let leaving = row.endpoint.leaving;
        if let Some(router) = self.routers.get_mut(&row.endpoint.service) {
            router.report(&name, report, now);
            if !leaving {
                router.set_state(&name, report.state);
            }
        }
    }

    /// Gives the router of a service its endpoints anew.
    fn refresh(&mut self, service: &str) {
        let Some(router) = self.routers.get_mut(service) else {
            return;
        };
        let own = || {
            self.rows
                .values()
                .map(|row| &row.endpoint)
                .filter(|e| e.service == service)
        };
        let members: Vec<_> = own().map(member).collect();
        let known: Vec<_> = members
            .iter()
            .map(|member| router.state(&member.name))
            .collect();
        router.set_members(&members);
        for ((endpoint, member), known) in own().zip(&members).zip(known) {
            let state = match known {
                _ if endpoint.leaving => State::Leaving,
                Some(State::Unreachable) => State::Unreachable,
                _ => State::Serving,
            };
            router.set_state(&member.name, state);
        }
    }
}

/// Fits the choice to the pass of a model server: a request that runs costs
/// others part of a step, and one whose prompt waits costs the reading time.
fn pace(options: &mut route::Options, engine: &Engine) {
    let pass = (engine.step + engine.per_request * engine.slots) * engine.stride;
    options.base_time = pass;
    options.token_time = Duration::from_secs_f64(1.0 / engine.read_rate.max(1.0));
    options.report_half_life = REPORT_HALF_LIFE;
}

/// How fast a load report fades; agents send one four times a second.
const REPORT_HALF_LIFE: Duration = Duration::from_millis(400);

fn kind(service: &str) -> route::Service {
    route::Service::Path(service.to_owned())
}

fn member(endpoint: &Endpoint) -> Member {
    Member {
        name: name::Endpoint::new(endpoint.id.clone()),
        data_centre: name::DataCentre::new(endpoint.data_centre.clone()),
        services: vec![kind(&endpoint.service)],
        slots: endpoint.slots.max(1),
        speed: 1.0,
    }
}
