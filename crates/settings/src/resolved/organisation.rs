//! The values of an organisation.

use std::time::Duration;

use crate::resolved::Reader;
use crate::{Id, Key, Route, Tree, Value};

/// The values of an organisation with all inheritance worked out.
#[derive(Debug, Clone, PartialEq)]
pub struct Organisation {
    /// The node in the tree.
    pub node: Id,
    /// The most requests a second: the least cap of the node and those above.
    pub request_rate_limit: u64,
    /// The guaranteed requests a second.
    pub request_rate_floor: u64,
    /// The most running requests: the least cap of the node and those above.
    pub concurrency_limit: u64,
    /// The guaranteed running requests.
    pub concurrency_floor: u64,
    /// The priority of requests that state none.
    pub priority: u64,
    /// Whether a request that does not say so itself may be repeated.
    pub is_idempotent: bool,
    /// How long the key of a non-idempotent request is remembered.
    pub key_lifetime: Duration,
    /// Whether keys of the caller's own making are accepted.
    pub accepts_bare_keys: bool,
    /// How long a whole answer may take.
    pub deadline: Duration,
    /// How long the first token may take.
    pub first_token_deadline: Duration,
    /// The retries allowed, as a fraction of first attempts.
    pub retry_budget: f64,
    /// The routes of plain services, the longest prefix first.
    pub routes: Vec<Route>,
}

impl Organisation {
    pub(crate) fn new(tree: &Tree, id: &Id) -> Self {
        let at = Reader::new(tree, id);
        Self {
            node: id.clone(),
            request_rate_limit: least(tree, id, Key::RequestRateLimit),
            request_rate_floor: at.integer(Key::RequestRateFloor),
            concurrency_limit: least(tree, id, Key::ConcurrencyLimit),
            concurrency_floor: at.integer(Key::ConcurrencyFloor),
            priority: at.integer(Key::Priority),
            is_idempotent: at.read(Key::Idempotent, Value::as_boolean),
            key_lifetime: at.duration(Key::KeyLifetime),
            accepts_bare_keys: at.text(Key::BareKeys) == "accept",
            deadline: at.duration(Key::Deadline),
            first_token_deadline: at.duration(Key::FirstTokenDeadline),
            retry_budget: at.fraction(Key::RetryBudget),
            routes: longest_first(&at),
        }
    }

    /// Returns the route with the longest prefix that covers `path`.
    #[must_use]
    pub fn route(&self, path: &str) -> Option<&Route> {
        self.routes.iter().find(|route| route.covers(path))
    }
}

fn least(tree: &Tree, id: &Id, key: Key) -> u64 {
    let caps = tree.lineage(id).map(|(above, _)| tree.integer(above, key));
    caps.min().unwrap_or_default()
}

fn longest_first(at: &Reader<'_>) -> Vec<Route> {
    let mut routes = at.read(Key::Routes, |value| {
        value.as_routes().map(<[Route]>::to_vec)
    });
    routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
    routes
}
