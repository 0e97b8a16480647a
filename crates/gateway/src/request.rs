//! A caller's request, completely received and resolved.

use std::cell::OnceCell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use cactusnotch_base::clock::Instant;
use cactusnotch_overload::{Class, Mode};
use http::header::{self, HeaderName};
use http::uri::PathAndQuery;
use http::{HeaderMap, Method, Request};
use http_body_util::Full;

use crate::admission::Caller;
use crate::configuration::{Configuration, Organisation};
use crate::content::{self, Fingerprint};
use crate::dialect::{Dialect, Head, Hop};
use crate::endpoint::Endpoint;
use crate::memory::Reservation;
use crate::prompt;
use crate::quarantine::Accused;
use crate::refusal::Refusal;
use crate::route::Route;

/// The time budget of a caller that states none, unless the route's timeout is shorter.
const DEFAULT_TIME_BUDGET: Duration = Duration::from_mins(1);
/// The hop-by-hop headers, which apply to a single connection.
const HOP_BY_HOP: [HeaderName; 6] = [
    header::CONNECTION,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];
/// Hop-by-hop headers for which the library has no constant.
const HOP_BY_HOP_NAMES: [&str; 2] = ["keep-alive", "proxy-connection"];

/// What a request's head resolves to in the configuration.
#[derive(Debug)]
pub(crate) struct Resolved {
    pub(crate) route: Route,
    pub(crate) service: String,
    pub(crate) organisation: Option<Organisation>,
    /// The regions whose endpoints may get the request; `None` for all.
    pub(crate) allowed_regions: Option<Vec<String>>,
}

impl Resolved {
    /// Returns the urgency that is sent to endpoints.
    fn urgency(&self) -> u8 {
        self.route.urgency(self.organisation.as_ref())
    }

    /// Returns the class of the request if overload control in `mode` applies to its service.
    pub(crate) fn class(&self, configuration: &Configuration, mode: Mode) -> Option<Class> {
        let controlled =
            self.route.streaming && configuration.controls_overload(&self.service, mode);
        controlled.then(|| Class::of(self.urgency(), configuration.urgencies(&self.service)))
    }
}

/// A caller's request, completely received and resolved.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) method: Method,
    pub(crate) target: PathAndQuery,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// The memory reserved for the request.
    #[expect(dead_code, reason = "dropping the call releases the memory")]
    pub(crate) reservation: Reservation,
    pub(crate) head: Head,
    pub(crate) resolved: Resolved,
    /// The precedence of the request if its service is under overload control.
    pub(crate) class: Option<Class>,
    /// Whether the caller was refused before.
    pub(crate) has_returned: bool,
    pub(crate) version: u64,
    pub(crate) arrived: Instant,
    /// When the final response is due.
    pub(crate) deadline: Instant,
    /// Decodes the shared parts of the prompt.
    pub(crate) shared_parts: fn(&HeaderMap) -> prompt::Shared,
    /// Computed on first use.
    pub(crate) parts: OnceCell<Vec<Fingerprint>>,
    /// Computed on first use.
    pub(crate) accused: OnceCell<Accused>,
}

/// Finds the route and the organisation of a request.
pub(crate) fn resolve(
    configuration: &Rc<Configuration>,
    host: Option<&str>,
    path: &str,
    head: &Head,
    draw: u32,
) -> Result<Resolved, Refusal> {
    let host = host.ok_or(Refusal::Malformed)?;
    let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
    let route = configuration.route(host, path).ok_or(Refusal::NoRoute)?;
    let organisation = match &head.key {
        _ if !configuration.needs_key(route) => None,
        Some(key) => Some(configuration.organisation(key).ok_or(Refusal::NoKey)?),
        None => return Err(Refusal::NoKey),
    };
    let service = route.service(draw).ok_or(Refusal::NoRoute)?;
    let organisation_regions = organisation.map_or_else(Vec::new, |o| o.allowed_regions.clone());
    Ok(Resolved {
        allowed_regions: intersect(&route.allowed_regions, &organisation_regions),
        service: service.to_owned(),
        organisation: organisation.cloned(),
        route: route.clone(),
    })
}

/// Returns the regions that both a route and an organisation allow; `None` for all. Either
/// of them allows all regions if it lists none.
fn intersect(route: &[String], organisation: &[String]) -> Option<Vec<String>> {
    match (route.is_empty(), organisation.is_empty()) {
        (true, true) => None,
        (true, false) => Some(organisation.to_vec()),
        (false, true) => Some(route.to_vec()),
        (false, false) => {
            let common = route.iter().filter(|region| organisation.contains(region));
            Some(common.cloned().collect())
        }
    }
}

/// Removes the hop-by-hop headers.
pub(crate) fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<_> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| HeaderName::try_from(name.trim()).ok())
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
    for name in HOP_BY_HOP_NAMES {
        headers.remove(name);
    }
}

impl Call {
    /// Returns the deadline of a request that arrived at `arrived`.
    pub(crate) fn deadline_of(route: &Route, head: &Head, arrived: Instant) -> Instant {
        arrived
            + head
                .time_budget
                .unwrap_or(DEFAULT_TIME_BUDGET)
                .min(route.timeout)
    }

    /// Returns the fingerprint that all attempts of this request share.
    pub(crate) fn fingerprint(&self) -> Fingerprint {
        self.accused().content
    }

    /// Returns the fingerprints of what a crash during this request accuses.
    pub(crate) fn accused(&self) -> &Accused {
        self.accused.get_or_init(|| {
            let host = self.headers.get(header::HOST);
            let content = Fingerprint::of(&content::Parts {
                organisation: self.resolved.organisation.as_ref().map(|o| o.name.as_str()),
                method: &self.method,
                host: host.map(http::HeaderValue::as_bytes).unwrap_or_default(),
                target: self.target.as_str(),
                body: &self.body,
            });
            Accused {
                content,
                parts: self.parts().to_vec(),
            }
        })
    }

    /// Returns the fingerprints of the shared parts of the prompt.
    pub(crate) fn parts(&self) -> &[Fingerprint] {
        self.parts.get_or_init(|| {
            let shared = (self.shared_parts)(&self.headers);
            if shared.ignored > 0 {
                let (id, ignored) = (self.head.id.as_deref(), shared.ignored);
                tracing::info!(id, ignored, "parts of the prompt ignored");
            }
            let service = &self.resolved.service;
            let parts = shared
                .ids
                .iter()
                .map(|id| Fingerprint::of_part(service, id));
            parts.collect()
        })
    }

    /// Returns the ids of the shared parts of the prompt, for the log.
    pub(crate) fn shared_part_ids(&self) -> String {
        (self.shared_parts)(&self.headers).ids.join(",")
    }

    /// Returns whether this is a first attempt or a retry, and for a retry how long it has
    /// waited.
    pub(crate) fn caller(&self, now: Instant) -> Caller {
        if self.has_returned {
            Caller::Returned {
                waited: now.saturating_duration_since(self.arrived),
            }
        } else {
            Caller::First
        }
    }

    /// Creates the request that is sent to an endpoint.
    pub(crate) fn outgoing<D: Dialect>(
        &self,
        endpoint: &Endpoint,
        last_event: Option<u64>,
        now: Instant,
    ) -> Request<Full<Bytes>> {
        let mut headers = self.headers.clone();
        let hop = Hop {
            endpoint: &endpoint.instance,
            organisation: self.resolved.organisation.as_ref().map(|o| o.name.as_str()),
            time_left: Some(self.deadline.saturating_duration_since(now)),
            last_event,
            urgency: self
                .resolved
                .route
                .streaming
                .then(|| self.resolved.urgency()),
        };
        D::forward(&mut headers, &hop);
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.target.clone().into();
        *request.headers_mut() = headers;
        request
    }
}
