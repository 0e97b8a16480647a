//! A caller's request, read whole and judged.

use std::cell::OnceCell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use cactusnotch_base::clock::Instant;
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
use crate::refusal::Refusal;
use crate::route::Route;

/// The time that a caller waits who doesn't say, unless the route is shorter.
const PATIENCE: Duration = Duration::from_mins(1);
/// The least urgent value that endpoints take.
const URGENCY_MAX: u32 = 9;
/// How many ranks of routes fit into one rank of an organisation.
const URGENCY_STEP: u32 = 3;

/// The headers that concern one connection only.
const HOP_BY_HOP: [HeaderName; 6] = [
    header::CONNECTION,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];
/// The same, without a constant of the library.
const HOP_BY_HOP_NAMES: [&str; 2] = ["keep-alive", "proxy-connection"];

/// What a request's head led to, before its body is read.
#[derive(Debug)]
pub(crate) struct Judged {
    pub(crate) route: Route,
    pub(crate) service: String,
    pub(crate) organisation: Option<Organisation>,
    /// The regions whose endpoints may get it, `None` for all.
    pub(crate) allowed_regions: Option<Vec<String>>,
}

/// A caller's request, read whole and judged.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) method: Method,
    pub(crate) target: PathAndQuery,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// The memory that it takes up.
    #[expect(dead_code, reason = "it is free again once the call is dropped")]
    pub(crate) room: Reservation,
    pub(crate) head: Head,
    pub(crate) judged: Judged,
    /// Whether the caller was refused before.
    pub(crate) has_returned: bool,
    pub(crate) version: u64,
    pub(crate) arrived: Instant,
    /// When the final answer is due.
    pub(crate) until: Instant,
    /// Worked out only when it is asked for.
    pub(crate) digest: OnceCell<Fingerprint>,
}

/// Finds the route and the organisation of a request.
pub(crate) fn judge(
    configuration: &Rc<Configuration>,
    host: Option<&str>,
    path: &str,
    head: &Head,
    draw: u32,
) -> Result<Judged, Refusal> {
    let host = host.ok_or(Refusal::Malformed)?;
    let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
    let route = configuration.route(host, path).ok_or(Refusal::NoRoute)?;
    let organisation = match &head.key {
        _ if !configuration.needs_key(route) => None,
        Some(key) => Some(configuration.organisation(key).ok_or(Refusal::NoKey)?),
        None => return Err(Refusal::NoKey),
    };
    let service = route.service(draw).ok_or(Refusal::NoRoute)?;
    let bound = organisation.map_or_else(Vec::new, |o| o.allowed_regions.clone());
    Ok(Judged {
        allowed_regions: both(&route.allowed_regions, &bound),
        service: service.to_owned(),
        organisation: organisation.cloned(),
        route: route.clone(),
    })
}

/// Returns the regions that both a route and an organisation allow, each of which allows all
/// if it names none; `None` for all.
fn both(route: &[String], organisation: &[String]) -> Option<Vec<String>> {
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

/// Drops the headers that concern one connection only.
pub(crate) fn strip(headers: &mut HeaderMap) {
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
    /// Returns when the final answer of a request that arrived at `arrived`
    /// is due.
    pub(crate) fn due(route: &Route, head: &Head, arrived: Instant) -> Instant {
        arrived + head.time_budget.unwrap_or(PATIENCE).min(route.timeout)
    }

    /// Returns what other attempts of this request have in common with it.
    pub(crate) fn fingerprint(&self) -> Fingerprint {
        *self.digest.get_or_init(|| {
            let host = self.headers.get(header::HOST);
            Fingerprint::of(&content::Parts {
                organisation: self.judged.organisation.as_ref().map(|o| o.name.as_str()),
                method: &self.method,
                host: host.map(http::HeaderValue::as_bytes).unwrap_or_default(),
                target: self.target.as_str(),
                body: &self.body,
            })
        })
    }

    /// Returns whether the caller comes for the first time, and how long it has waited
    /// otherwise.
    pub(crate) fn caller(&self, now: Instant) -> Caller {
        if self.has_returned {
            Caller::Returned {
                waited: now.saturating_duration_since(self.arrived),
            }
        } else {
            Caller::First
        }
    }

    /// Returns the urgency that endpoints are told: the organisation's rank
    /// goes before the route's.
    fn urgency(&self) -> u8 {
        let route = self.judged.route.priority.min(URGENCY_STEP - 1);
        let organisation = self.judged.organisation.as_ref().and_then(|o| o.priority);
        let urgency = organisation.unwrap_or(1).saturating_mul(URGENCY_STEP) + route;
        u8::try_from(urgency.min(URGENCY_MAX)).unwrap_or(u8::MAX)
    }

    /// Writes the request for an endpoint.
    pub(crate) fn outgoing<D: Dialect>(
        &self,
        endpoint: &Endpoint,
        last_event: Option<u64>,
        now: Instant,
    ) -> Request<Full<Bytes>> {
        let mut headers = self.headers.clone();
        let hop = Hop {
            endpoint: &endpoint.instance,
            organisation: self.judged.organisation.as_ref().map(|o| o.name.as_str()),
            time_left: Some(self.until.saturating_duration_since(now)),
            last_event,
            urgency: self.judged.route.streaming.then(|| self.urgency()),
        };
        D::forward(&mut headers, &hop);
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.target.clone().into();
        *request.headers_mut() = headers;
        request
    }
}
