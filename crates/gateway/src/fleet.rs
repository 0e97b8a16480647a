//! The endpoints in an entry's cached state, and the choice among them.

mod cold;
mod criteria;
mod exclusion;
mod groups;
mod leaving_notices;
mod lives;
mod members;
mod options;
mod row;
mod sharing;
mod statements;
mod terminated;

use std::net::SocketAddr;
use std::time::Duration;

use cactusnotch_base::clock::Instant;
use cactusnotch_base::{Table, name};
use cactusnotch_route::{self as route, Attempt, Choice, Report, Request, Router, attempt, choice};
use rand::rngs::SmallRng;

pub(crate) use self::criteria::Criteria;
pub(crate) use self::exclusion::Exclusions;
use self::groups::Groups;
pub(crate) use self::groups::{Chosen, Shortage, Snapshot};
use self::leaving_notices::LeavingNotices;
use self::members::kind;
use self::row::{REPORT_TIME, Row};
pub(crate) use self::statements::Update;
use self::terminated::Terminated;
use crate::configuration::{ColdStart, Service};
use crate::endpoint::Endpoint;
use crate::peer::Load;
use cactusnotch_throttle::{Backoffs, Limits, Tolerance, Warmups};

/// Streams are moved away from stragglers only while these are at most one in this many of
/// the service's endpoints: the others need room for the moved streams.
const STRAGGLERS_PART: usize = 4;

/// What a load report is combined with to update the router.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct LoadContext {
    pub(crate) slots: u32,
    pub(crate) sharers: u32,
    /// Ratio of its pass duration to the shortest of its service.
    pub(crate) pass_ratio: f64,
}

/// The endpoints in an entry's cached state.
#[derive(Debug)]
pub(crate) struct Fleet {
    data_centre: name::DataCentre,
    rows: Table<String, Row>,
    routers: Table<String, Router>,
    /// The endpoints of services that the configuration doesn't name, by id. Another writer may
    /// have registered them, so that they end no other endpoint.
    unnamed: Table<String, Endpoint>,
    /// The services whose endpoints are ranks of groups, sorted.
    ranked: Vec<String>,
    /// The ranked services of which this entry uses only a subset of the endpoints, with a
    /// fingerprint of the entries and endpoints from which the subset was computed.
    subsets: Table<String, u64>,
    /// When the first missing endpoint is to be dropped.
    next_expiry: Option<Instant>,
    terminated: Terminated,
    leaving_notices: LeavingNotices,
    limits: Limits,
    backoffs: Backoffs,
    warmups: Warmups,
    cold_starts: Table<String, ColdStart>,
    evacuated: Vec<String>,
    groups: Groups,
}

impl Fleet {
    pub(crate) fn new(host: &str, data_centre: &str, warm_up: Tolerance) -> Self {
        Self {
            data_centre: name::DataCentre::new(data_centre),
            rows: Table::new(),
            routers: Table::new(),
            unnamed: Table::new(),
            ranked: Vec::new(),
            subsets: Table::new(),
            next_expiry: None,
            terminated: Terminated::default(),
            leaving_notices: LeavingNotices::default(),
            limits: Limits::new(host),
            backoffs: Backoffs::default(),
            warmups: Warmups::new(warm_up, host),
            cold_starts: Table::new(),
            evacuated: Vec::new(),
            groups: Groups::default(),
        }
    }

    pub(crate) fn configure(&mut self, services: &[Service], now: Instant) {
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
        let has_ranks =
            |service: &&Service| service.engine.as_ref().is_some_and(|e| e.shape.is_some());
        self.ranked = services
            .iter()
            .filter(has_ranks)
            .map(|service| service.name.clone())
            .collect();
        self.ranked.sort_unstable();
        let names: Vec<_> = services
            .iter()
            .map(|service| service.name.clone())
            .collect();
        self.set_cold_starts(services, now);
        for service in &names {
            self.refresh(service);
        }
    }

    /// Applies an endpoint's registration; returns whether anything changed. Of two
    /// endpoints at one address the later one runs: the earlier registration lapses only
    /// seconds after the endpoint's termination, and requests sent there in the meantime
    /// are refused.
    pub(crate) fn insert(&mut self, mut endpoint: Endpoint, now: Instant) -> bool {
        if !self.routers.contains(&endpoint.service) && !self.rows.contains(&endpoint.id) {
            self.park(endpoint);
            return false;
        }
        self.unnamed.remove(&endpoint.id);
        if !self.rows.contains(&endpoint.id) && self.terminated.is_unconfirmed(&endpoint, now) {
            tracing::info!(
                endpoint = endpoint.id,
                registered = %endpoint.registered,
                "registration of an ended life in an older copy not taken yet"
            );
            return false;
        }
        endpoint.leaving |= self.leaving_notices.covers(&endpoint);
        if let Some(known) = self.rows.get_mut(&endpoint.id) {
            known.earlier_start = None;
            endpoint.leaving |= known.endpoint.stays_leaving(&endpoint);
            if known.endpoint == endpoint && known.missing_until.is_none() {
                return false;
            }
            let before = std::mem::replace(&mut known.endpoint.cold_ms, endpoint.cold_ms);
            if before != endpoint.cold_ms {
                self.apply_cold_start(&endpoint, now);
                return self.insert(endpoint, now);
            }
        }
        if self.is_of_earlier_incarnation(&endpoint, now)
            || self.iter().any(|other| other.supersedes(&endpoint))
        {
            return false;
        }
        self.end_earlier_incarnations(&endpoint, now);
        let service = endpoint.service.clone();
        let ranked = self.ranked.binary_search(&service).is_ok();
        // A new endpoint of a service with subsets is used only once it has been chosen.
        let used = !self.subsets.contains(&service);
        let shares_limit = self.limits.is_holder(&endpoint.instance);
        let id = endpoint.id.clone();
        let row = self
            .rows
            .get_or_insert_with(id, || Row::new(endpoint.clone(), ranked, used, now));
        row.shares_limit = shares_limit;
        row.register(endpoint.clone());
        self.apply_cold_start(&endpoint, now);
        self.refresh(&service);
        true
    }

    /// Drops the endpoints that are still missing after an outage of the store; returns
    /// their names.
    pub(crate) fn expire(&mut self, now: Instant) -> Vec<String> {
        if self.next_expiry.is_none_or(|at| at > now) {
            return Vec::new();
        }
        let due = |row: &Row| row.missing_until.is_some_and(|until| until <= now);
        let expired: Vec<_> = self
            .rows
            .iter()
            .filter(|(_, row)| due(row))
            .map(|(id, _)| id.clone())
            .collect();
        for id in &expired {
            self.end(id, now);
        }
        self.next_expiry = self.rows.values().filter_map(|row| row.missing_until).min();
        expired
    }

    pub(crate) fn get(&self, id: &str) -> Option<&Endpoint> {
        self.rows.get(id).map(|row| &row.endpoint)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Endpoint> {
        self.rows.values().map(|row| &row.endpoint)
    }

    /// Returns whether an endpoint is registered and accepts new requests.
    pub(crate) fn takes_work(&self, id: &str) -> bool {
        self.get(id).is_some_and(|e| self.takes_new_work(e))
    }

    /// Returns whether an endpoint accepts new requests: it is not leaving and its data
    /// centre is not evacuated.
    pub(super) fn takes_new_work(&self, endpoint: &Endpoint) -> bool {
        !endpoint.leaving && !self.is_evacuated(endpoint)
    }

    pub(super) fn is_evacuated(&self, endpoint: &Endpoint) -> bool {
        self.evacuated.contains(&endpoint.data_centre)
    }

    /// Replaces the data centres whose endpoints get no requests.
    pub(crate) fn set_evacuated(&mut self, data_centres: Vec<String>) {
        self.evacuated = data_centres;
        let services: Vec<_> = self.routers.keys().cloned().collect();
        for service in services {
            self.refresh(&service);
        }
    }

    /// Chooses an endpoint of `service` for a request, only from `group` if one is given, and
    /// counts the request there.
    pub(crate) fn start(
        &mut self,
        service: &str,
        criteria: &Criteria<'_>,
        group: Option<route::Group>,
        now: Instant,
        rng: &mut SmallRng,
    ) -> Result<(Choice, Attempt), choice::Error> {
        let kind = kind(service);
        let request = Request {
            service: &kind,
            tokens: criteria.tokens,
            prefix: &[],
            tried: criteria.tried,
            may_probe: criteria.may_probe,
            allowed_data_centres: criteria.within,
            group,
        };
        let router = self
            .routers
            .get_mut(service)
            .ok_or(choice::Error::Unknown)?;
        let choice = router.choose(&request, now, rng)?;
        let attempt = router.start(&choice, &request, now);
        Ok((choice, attempt))
    }

    pub(crate) fn first_piece(&mut self, service: &str, attempt: &mut Attempt, now: Instant) {
        if let Some(router) = self.routers.get_mut(service) {
            router.first_piece(attempt, now);
        }
    }

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

    /// Applies the load report of an endpoint's agent. `max_event_gap` returns the longest
    /// gap between events that callers of a service accept; `entries` is the number of
    /// entries.
    pub(crate) fn apply_load(
        &mut self,
        load: &Load,
        max_event_gap: impl FnOnce(&str) -> Option<Duration>,
        entries: u32,
        now: Instant,
    ) -> Option<LoadContext> {
        let (_, row) = self
            .rows
            .iter_mut()
            .find(|(_, row)| row.endpoint.address == load.endpoint)?;
        if row.is_of_other_incarnation(load) {
            let endpoint = row.endpoint.clone();
            self.note_later_start(&endpoint, load, now);
            return None;
        }
        row.apply_load(load, now);
        let service = row.endpoint.service.clone();
        let (id, slots) = (row.endpoint.id.clone(), row.endpoint.slots);
        let avoided = row.should_be_avoided(max_event_gap(&service), now);
        let name = name::Endpoint::new(id.as_str());
        if let Some(router) = self.routers.get_mut(&service) {
            router.avoid(&name, avoided.then(|| now + REPORT_TIME));
        }
        self.apply_group(&id, load, now);
        Some(LoadContext {
            slots,
            sharers: self.sharers(&service, entries),
            pass_ratio: self.pass_ratio(&service, load.pass, now),
        })
    }

    /// Returns the ratio of `pass`, in milliseconds, to the shortest pass of its service.
    fn pass_ratio(&self, service: &str, pass: u16, now: Instant) -> f64 {
        let rows = self.rows.values();
        let passes = rows.filter(|row| row.endpoint.service == service);
        let passes = passes.filter_map(|row| row.pass(now));
        let least = passes.filter(|pass| !pass.is_zero()).min();
        let pass = Duration::from_millis(pass.into());
        least.map_or(1.0, |least| pass.as_secs_f64() / least.as_secs_f64())
    }

    /// Returns whether an endpoint is so slow that its streams should move elsewhere, and
    /// few enough endpoints of its service are.
    pub(crate) fn is_straggler(&self, id: &str, now: Instant) -> bool {
        let Some(row) = self.rows.get(id).filter(|row| row.straggles(now)) else {
            return false;
        };
        let same = |other: &&Row| other.is_used() && other.endpoint.service == row.endpoint.service;
        let all = self.rows.values().filter(same).count();
        let slow = self
            .rows
            .values()
            .filter(same)
            .filter(|row| row.straggles(now));
        slow.count() * STRAGGLERS_PART <= all
    }

    /// Returns whether an endpoint is known to be out of service.
    pub(crate) fn is_lost(&self, id: &str, now: Instant) -> bool {
        self.rows.get(id).is_some_and(|row| row.is_lost(now))
    }

    /// Returns the duration of a pass at an endpoint, if it was reported recently.
    pub(crate) fn pass(&self, id: &str, now: Instant) -> Option<Duration> {
        self.rows.get(id)?.pass(now)
    }

    /// Returns the addresses of endpoints whose agents have not sent a first report yet.
    pub(crate) fn awaiting_agent(&self, now: Instant) -> Vec<SocketAddr> {
        let awaiting_agent = self.rows.values().filter(|row| row.is_awaiting_agent(now));
        awaiting_agent.map(|row| row.endpoint.address).collect()
    }

    /// Applies a load report of the endpoint at `address` to its router.
    pub(crate) fn report(&mut self, address: SocketAddr, report: &Report, now: Instant) {
        let found = self
            .rows
            .values()
            .find(|row| row.endpoint.address == address);
        let Some(row) = found else {
            return;
        };
        let name = name::Endpoint::new(row.endpoint.id.clone());
        let takes_work = self.takes_new_work(&row.endpoint);
        if let Some(router) = self.routers.get_mut(&row.endpoint.service) {
            router.apply_report(&name, report, now);
            if takes_work {
                router.set_state(&name, report.state);
            }
        }
    }
}
