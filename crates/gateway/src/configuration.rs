//! One version of the operators' configuration.

use std::time::Duration;

use cactusnotch_derive::record;
use cactusnotch_overload::Mode;
use cactusnotch_throttle::Rate;

use crate::route::{DEFAULT_PRIORITY, Route};

/// Size and time limits of requests.
#[record]
#[derive(Copy)]
pub struct Limits {
    /// Maximum size of a request's head, in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request's body, in bytes.
    pub body_bytes: usize,
    /// Maximum time from the first byte of a head to its last.
    pub head_time: Duration,
    /// Maximum time that a connection may be idle.
    pub idle_time: Duration,
}

/// An organisation that sends requests.
#[record]
pub struct Organisation {
    /// Its name, which is sent to endpoints.
    pub name: String,
    /// Its priority, which overrides that of a route; lower values are served first.
    pub priority: Option<u32>,
    /// The data residency regions: only endpoints there may get its requests. Empty for all
    /// regions.
    pub allowed_regions: Vec<String>,
}

/// The dimensions of a group's expert maps and the cost of a move.
#[record]
#[derive(Copy)]
pub struct Shape {
    /// Number of layer sets that share a map.
    pub sets: usize,
    /// Number of experts in a set.
    pub experts: usize,
    /// Number of experts of a set that a rank can hold.
    pub places: usize,
    /// Number of experts of a set that one order may move to a rank.
    pub spare: usize,
    /// The time to copy one expert to a rank.
    pub copy: Duration,
    /// Share of a token's work that the experts do, in thousandths.
    pub expert_part: u16,
}

/// Performance parameters of a service's model servers, for the model of a forward pass.
#[derive(Debug, Clone, PartialEq)]
pub struct Engine {
    /// Number of requests that run concurrently.
    pub slots: u32,
    /// Duration of a step without requests.
    pub step: Duration,
    /// Time that each decoding request adds to a step.
    pub per_request: Duration,
    /// Prompt tokens processed per second.
    pub read_rate: f64,
    /// Number of steps in a decoding pass.
    pub stride: u32,
    /// The dimensions of its groups' expert maps, if it has any.
    pub shape: Option<Shape>,
}

/// A service that routes lead to.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: String,
    /// Number of connections that one of its endpoints accepts from all callers together.
    pub connections: u32,
    /// Performance parameters if its endpoints are model servers.
    pub engine: Option<Engine>,
    /// The warm-up limit of its endpoints after a start, if there is one.
    pub cold: Option<ColdStart>,
}

/// The warm-up limit of endpoints after a start.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdStart {
    /// Duration of the warm-up.
    pub time: Duration,
    /// Requests per second that a warming-up endpoint accepts from all entries together.
    pub rate: Rate,
}

/// One version of the operators' configuration, with indexes for look-ups.
#[derive(Debug, Clone, PartialEq)]
pub struct Configuration {
    /// The version number that the operators gave it.
    pub version: u64,
    /// Size and time limits of requests.
    pub limits: Limits,
    routes: Vec<Route>,
    services: Vec<Service>,
    /// The longest gap between events that callers of each service accept, in the order of
    /// `services`.
    max_event_gaps: Vec<Option<Duration>>,
    /// The distinct urgencies of each service's streaming requests, sorted, in the order of
    /// `services`.
    urgencies: Vec<Vec<u8>>,
    organisations: Vec<Organisation>,
    /// API keys with the index of their organisation, sorted by key.
    keys: Vec<(String, usize)>,
    requires_keys: bool,
}

/// The input of [`Configuration::new`].
#[derive(Debug, Clone, PartialEq)]
pub struct Parts {
    /// The version number that the operators gave it.
    pub version: u64,
    /// Size and time limits of requests.
    pub limits: Limits,
    /// The routes, in any order.
    pub routes: Vec<Route>,
    /// The services, in any order.
    pub services: Vec<Service>,
    /// The organisations with their API keys, or `None` if requests need no key.
    pub organisations: Option<Vec<(Organisation, Vec<String>)>>,
}

impl Configuration {
    /// Builds the indexes: routes by host and prefix, services by name, organisations by key.
    #[must_use]
    pub fn new(parts: Parts) -> Self {
        let Parts {
            version,
            limits,
            mut routes,
            mut services,
            organisations,
        } = parts;
        routes.sort_by(|a, b| (&a.host, &a.prefix).cmp(&(&b.host, &b.prefix)));
        services.sort_by(|a, b| a.name.cmp(&b.name));
        let max_event_gaps = services
            .iter()
            .map(|service| min_event_gap(&routes, &service.name))
            .collect();
        let requires_keys = organisations.is_some();
        let organisation_list = organisations.as_deref().unwrap_or_default();
        let urgencies = services
            .iter()
            .map(|service| urgencies(&routes, &service.name, organisation_list))
            .collect();
        let mut owners = Vec::new();
        let mut keys = Vec::new();
        for (organisation, own_keys) in organisations.unwrap_or_default() {
            keys.extend(own_keys.into_iter().map(|key| (key, owners.len())));
            owners.push(organisation);
        }
        keys.sort();
        Self {
            version,
            limits,
            routes,
            services,
            max_event_gaps,
            urgencies,
            organisations: owners,
            keys,
            requires_keys,
        }
    }

    /// Returns the route of `host` with the longest prefix of `path`.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let ends = path
            .bytes()
            .enumerate()
            .rev()
            .filter(|&(_, byte)| byte == b'/');
        for (end, _) in ends {
            let prefix = &path[..=end];
            let found = self.routes.binary_search_by(|route| {
                (route.host.as_str(), route.prefix.as_str()).cmp(&(host, prefix))
            });
            if let Ok(at) = found {
                return Some(&self.routes[at]);
            }
        }
        None
    }

    /// Returns the data residency regions of all routes of a host, `None` if no route is
    /// restricted.
    #[must_use]
    pub fn allowed_regions(&self, host: &str) -> Option<Vec<&str>> {
        let first = self
            .routes
            .partition_point(|route| route.host.as_str() < host);
        let of_host = self.routes[first..].iter().take_while(|r| r.host == host);
        let allowed: Vec<_> = of_host
            .flat_map(|r| &r.allowed_regions)
            .map(String::as_str)
            .collect();
        (!allowed.is_empty()).then_some(allowed)
    }

    /// Returns all routes, sorted by host and prefix.
    #[must_use]
    pub fn routes(&self) -> &[Route] {
        &self.routes
    }

    /// Returns the service with the given name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        Some(&self.services[self.position(name)?])
    }

    /// Returns all services, sorted by name.
    #[must_use]
    pub fn services(&self) -> &[Service] {
        &self.services
    }

    /// Returns the longest gap between events that all callers of a service accept, `None`
    /// if no route states one.
    #[must_use]
    pub fn max_event_gap(&self, service: &str) -> Option<Duration> {
        self.max_event_gaps[self.position(service)?]
    }

    /// Returns the distinct urgencies of a service's streaming requests, sorted.
    #[must_use]
    pub fn urgencies(&self, service: &str) -> &[u8] {
        self.position(service).map_or(&[], |at| &self.urgencies[at])
    }

    /// Returns whether overload control in `mode` applies to a service: its endpoints are
    /// ranks of groups, and callers state the longest gap between events that they accept.
    #[must_use]
    pub fn controls_overload(&self, service: &str, mode: Mode) -> bool {
        let has_ranks = self
            .service(service)
            .and_then(|service| service.engine.as_ref())
            .is_some_and(|engine| engine.shape.is_some());
        has_ranks
            && self.max_event_gap(service).is_some()
            && mode.applies(self.urgencies(service).len())
    }

    fn position(&self, service: &str) -> Option<usize> {
        self.services
            .binary_search_by(|known| known.name.as_str().cmp(service))
            .ok()
    }

    /// Returns the organisation that owns `key`.
    #[must_use]
    pub fn organisation(&self, key: &str) -> Option<&Organisation> {
        let at = self
            .keys
            .binary_search_by(|(held, _)| held.as_str().cmp(key))
            .ok()?;
        self.organisations.get(self.keys[at].1)
    }

    /// Returns whether requests on `route` need a key.
    #[must_use]
    pub const fn needs_key(&self, route: &Route) -> bool {
        self.requires_keys && !route.anonymous
    }
}

/// Returns the minimum over the longest accepted gaps of all routes to a service.
fn min_event_gap(routes: &[Route], service: &str) -> Option<Duration> {
    let leads_to_service = |route: &&Route| route.backends.iter().any(|b| b.service == service);
    routes
        .iter()
        .filter(leads_to_service)
        .filter_map(|route| route.max_event_gap)
        .min()
}

/// Returns the distinct urgencies of the streaming requests to a service from the least
/// urgent organisations, sorted. Requests of a more urgent organisation come before all of
/// them.
fn urgencies(
    routes: &[Route],
    service: &str,
    organisations: &[(Organisation, Vec<String>)],
) -> Vec<u8> {
    let leads_to_service = |route: &&Route| route.backends.iter().any(|b| b.service == service);
    let last = organisations
        .iter()
        .map(|(organisation, _)| organisation)
        .max_by_key(|organisation| organisation.priority.unwrap_or(DEFAULT_PRIORITY));
    let streaming = routes.iter().filter(|route| route.streaming);
    let mut urgencies: Vec<_> = streaming
        .filter(leads_to_service)
        .map(|route| route.urgency(last))
        .collect();
    urgencies.sort_unstable();
    urgencies.dedup();
    urgencies
}
