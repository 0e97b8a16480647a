//! Routes: which requests they match and how these are handled.

use std::time::Duration;

use cactusnotch_derive::record;

use crate::configuration::Organisation;

/// The priority of an organisation that states none.
pub(crate) const DEFAULT_PRIORITY: u32 = 1;
/// The lowest urgency that endpoints accept.
const URGENCY_MAX: u32 = 9;
/// The number of route priorities within one priority of an organisation.
const URGENCY_STEP: u32 = 3;

/// Whether a request that may have run can be sent again.
#[record]
#[derive(Copy)]
pub enum RetryPolicy {
    /// The request may run more than once.
    Idempotent,
    /// The request must run at most once.
    Never,
    /// The response is a stream that another endpoint can resume after the last
    /// event received.
    Resume,
}

/// A service that gets part of a route's requests.
#[record]
pub struct Backend {
    /// The name of the service.
    pub service: String,
    /// The weight of the service, relative to the sum of all weights.
    pub weight: u32,
}

/// A rule that matches requests and states how they are handled.
#[record]
pub struct Route {
    /// The configured name.
    pub name: String,
    /// The host name that a request must have.
    pub host: String,
    /// The prefix of a matching request's path, which begins and ends with a
    /// slash.
    pub prefix: String,
    /// Whether a request that may have run can be sent again.
    pub retry_policy: RetryPolicy,
    /// Whether responses are streams of events.
    pub streaming: bool,
    /// The longest time until the final response.
    pub timeout: Duration,
    /// The target for the latency of a response.
    pub target_latency: Duration,
    /// The longest gap between events of a stream that is still on time.
    pub max_event_gap: Option<Duration>,
    /// The priority of its requests; lower values take precedence.
    pub priority: u32,
    /// The most endpoints that one request may be sent to.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub anonymous: bool,
    /// The regions whose endpoints may get the requests; empty for all.
    pub allowed_regions: Vec<String>,
    /// The services that get the requests.
    pub backends: Vec<Backend>,
}

impl Route {
    /// Returns the service for a request. `draw` is a random number that is
    /// uniform over `u32`.
    #[must_use]
    pub fn service(&self, draw: u32) -> Option<&str> {
        let total: u64 = self.backends.iter().map(|b| u64::from(b.weight)).sum();
        let mut left = (u64::from(draw) * total) >> u32::BITS;
        for backend in &self.backends {
            let weight = u64::from(backend.weight);
            if left < weight {
                return Some(&backend.service);
            }
            left -= weight;
        }
        None
    }

    /// Returns the urgency of an organisation's requests, where 0 is first. The
    /// organisation's priority takes precedence over the route's.
    #[must_use]
    pub fn urgency(&self, organisation: Option<&Organisation>) -> u8 {
        let route = self.priority.min(URGENCY_STEP - 1);
        let organisation = organisation.and_then(|o| o.priority);
        let urgency = organisation
            .unwrap_or(DEFAULT_PRIORITY)
            .saturating_mul(URGENCY_STEP)
            .saturating_add(route);
        u8::try_from(urgency.min(URGENCY_MAX)).unwrap_or(u8::MAX)
    }
}
