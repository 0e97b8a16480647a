//! The operators' configuration, as one version of it stands.

use std::time::Duration;

use cactusnotch_derive::record;
use cactusnotch_throttle::Rate;

use crate::route::Route;

/// What a request may take up.
#[record]
#[derive(Copy)]
pub struct Limits {
    /// The most bytes of a request's head.
    pub head_bytes: usize,
    /// The most bytes of a request's body.
    pub body_bytes: usize,
    /// The longest time from a head's first byte to its last.
    pub head_time: Duration,
    /// The longest time that a connection may be idle.
    pub idle_time: Duration,
}

/// An organisation that sends requests.
#[record]
pub struct Organisation {
    /// Its name, which endpoints are told.
    pub name: String,
    /// Its rank, which goes before that of a route; lower ones go first.
    pub priority: Option<u32>,
    /// The regions whose endpoints may get its requests, none for all regions.
    pub allowed_regions: Vec<String>,
}

/// The size of a group's expert maps and what a move costs.
#[record]
#[derive(Copy)]
pub struct Shape {
    /// The sets of layers that share a map.
    pub sets: usize,
    /// The experts of a set.
    pub experts: usize,
    /// The experts of a set that a rank can hold.
    pub places: usize,
    /// The experts of a set that one order may bring to a rank.
    pub spare: usize,
    /// The time to copy one expert to a rank.
    pub copy: Duration,
    /// The part of the work for tokens that the experts do, in thousandths.
    pub expert_part: u16,
}

/// How the model servers of a service work, in the model of a pass.
#[derive(Debug, Clone, PartialEq)]
pub struct Engine {
    /// The requests that run at once.
    pub slots: u32,
    /// The time of a step without requests.
    pub step: Duration,
    /// What each request that is writing adds to a step.
    pub per_request: Duration,
    /// Prompt tokens read in a second.
    pub read_rate: f64,
    /// The steps of a pass that writes.
    pub stride: u32,
    /// The expert maps of its groups, if it has any.
    pub shape: Option<Shape>,
}

/// A service that routes lead to.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: String,
    /// The connections that one of its endpoints takes from all callers.
    pub connections: u32,
    /// How its endpoints work if they are model servers.
    pub engine: Option<Engine>,
    /// What its endpoints take after their start, if that is bounded.
    pub cold: Option<ColdStart>,
}

/// What endpoints take after their start.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdStart {
    /// How long they are cold.
    pub time: Duration,
    /// The requests a second that one takes then from all entries together.
    pub rate: Rate,
}

/// One version of the operators' configuration, with its look-ups.
#[derive(Debug, Clone, PartialEq)]
pub struct Configuration {
    /// The operators' number of this version.
    pub version: u64,
    /// What a request may take up.
    pub limits: Limits,
    routes: Vec<Route>,
    services: Vec<Service>,
    /// The longest pause that callers of each service accept, in the same order.
    pauses: Vec<Option<Duration>>,
    organisations: Vec<Organisation>,
    /// Keys with the position of their organisation, sorted by key.
    keys: Vec<(String, usize)>,
    requires_keys: bool,
}

/// What a configuration is built from.
#[derive(Debug, Clone, PartialEq)]
pub struct Parts {
    /// The operators' number of this version.
    pub version: u64,
    /// What a request may take up.
    pub limits: Limits,
    /// The routes in any order.
    pub routes: Vec<Route>,
    /// The services in any order.
    pub services: Vec<Service>,
    /// The organisations with their keys, or `None` if requests need no key.
    pub organisations: Option<Vec<(Organisation, Vec<String>)>>,
}

impl Configuration {
    /// Builds the look-ups: routes by host and prefix, services by name, keys.
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
        let pauses = services
            .iter()
            .map(|service| shortest_pause(&routes, &service.name))
            .collect();
        let requires_keys = organisations.is_some();
        let mut names = Vec::new();
        let mut keys = Vec::new();
        for (organisation, own) in organisations.unwrap_or_default() {
            keys.extend(own.into_iter().map(|key| (key, names.len())));
            names.push(organisation);
        }
        keys.sort();
        Self {
            version,
            limits,
            routes,
            services,
            pauses,
            organisations: names,
            keys,
            requires_keys,
        }
    }

    /// Returns the route of `host` with the longest prefix that begins `path`.
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

    /// Returns the regions of all routes of a host that are bound to some, `None` if none is.
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

    /// Returns all routes in order of host and prefix.
    #[must_use]
    pub fn routes(&self) -> &[Route] {
        &self.routes
    }

    /// Returns the service of a name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        Some(&self.services[self.position(name)?])
    }

    /// Returns all services in order of their names.
    #[must_use]
    pub fn services(&self) -> &[Service] {
        &self.services
    }

    /// Returns the longest pause between events that all callers of a service
    /// accept, if any of its routes states one.
    #[must_use]
    pub fn pause(&self, service: &str) -> Option<Duration> {
        self.pauses[self.position(service)?]
    }

    fn position(&self, service: &str) -> Option<usize> {
        self.services
            .binary_search_by(|known| known.name.as_str().cmp(service))
            .ok()
    }

    /// Returns the organisation that holds `key`.
    #[must_use]
    pub fn organisation(&self, key: &str) -> Option<&Organisation> {
        let at = self
            .keys
            .binary_search_by(|(held, _)| held.as_str().cmp(key))
            .ok()?;
        self.organisations.get(self.keys[at].1)
    }

    /// Tells whether requests on `route` need a key.
    #[must_use]
    pub const fn needs_key(&self, route: &Route) -> bool {
        self.requires_keys && !route.anonymous
    }
}

/// Returns the shortest of the longest pauses that routes to a service state.
fn shortest_pause(routes: &[Route], service: &str) -> Option<Duration> {
    let leads = |route: &&Route| route.backends.iter().any(|b| b.service == service);
    routes
        .iter()
        .filter(leads)
        .filter_map(|route| route.max_event_gap)
        .min()
}
