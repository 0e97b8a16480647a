//! A route: which requests it takes and how they are treated.

use std::time::Duration;

use cactusnotch_derive::record;

/// What may be done with a request that might have run already.
#[record]
#[derive(Copy)]
pub enum RetryPolicy {
    /// It may run more than once.
    Idempotent,
    /// It runs at most once.
    Never,
    /// Its answer is a stream that another endpoint can resume after the last
    /// event that arrived.
    Resume,
}

/// A service that takes part of a route's requests.
#[record]
pub struct Backend {
    /// The service's name.
    pub service: String,
    /// Its part of the requests, in units of all weights together.
    pub weight: u32,
}

/// Which requests a route takes and how they are treated.
#[record]
pub struct Route {
    /// The name that operators gave it.
    pub name: String,
    /// The host name that a request must have.
    pub host: String,
    /// How a request's path must begin; it begins and ends with a slash.
    pub prefix: String,
    /// What may be done with a request that might have run.
    pub retry_policy: RetryPolicy,
    /// Whether answers are streams of events.
    pub streaming: bool,
    /// The longest time until a final answer.
    pub timeout: Duration,
    /// The time within which an answer is worth most.
    pub target_latency: Duration,
    /// The longest pause between events of a stream that is still on time.
    pub max_event_gap: Option<Duration>,
    /// The rank of its requests; lower ones go first.
    pub priority: u32,
    /// The most endpoints that one request may be sent to.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub anonymous: bool,
    /// The regions whose endpoints may get its requests, none for all regions.
    pub allowed_regions: Vec<String>,
    /// The services that take its requests.
    pub backends: Vec<Backend>,
}

impl Route {
    /// Returns the service for a request whose draw is `draw`, a number that
    /// is evenly spread over all of `u32`.
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
}
