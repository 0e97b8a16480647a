//! What operators ask over HTTP.

use std::sync::Arc;
use std::time::Duration;

use cactusnotch_base::Clock;
use cactusnotch_base::name::{DataCentre, Endpoint, Process};
use cactusnotch_base::number::{Incarnation, Revision};
use rouille::{Request, Response};
use serde::{Deserialize, Serialize};

use crate::shared::Shared;

/// What an entry tells operators of itself and of what it sees.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The entry.
    pub process: Process,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// The revision in force at this entry.
    pub revision: Revision,
    /// The endpoints that it knows.
    pub endpoints: Vec<Seen>,
}

/// What an entry sees of an endpoint.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Seen {
    /// The endpoint.
    pub endpoint: Endpoint,
    /// Whether it takes new work: `serving`, `leaving` or `unreachable`.
    pub state: String,
    /// The entry's own requests at the endpoint.
    pub requests: u32,
    /// How long ago its agent was heard of, in milliseconds.
    pub heard_ms: Option<u64>,
}

/// Answers one call of an operator.
pub(crate) fn answer<C: Clock>(shared: &Arc<Shared<C>>, request: &Request) -> Response {
    match (request.method(), request.url().as_str()) {
        ("GET", "/status") => Response::json(&status(shared)),
        _ => Response::empty_404(),
    }
}

fn status<C: Clock>(shared: &Shared<C>) -> Status {
    let identity = &shared.options.node.link.identity;
    let heard = shared.agents.heard(shared.clock.now());
    let router = shared.router();
    let endpoints = heard
        .into_iter()
        .map(|(endpoint, ago)| Seen {
            state: router.state(&endpoint).unwrap_or_default().to_string(),
            requests: router.own(&endpoint).requests,
            heard_ms: ago.map(milliseconds),
            endpoint,
        })
        .collect();
    Status {
        process: identity.process.clone(),
        data_centre: identity.data_centre.clone(),
        incarnation: identity.incarnation,
        revision: shared.node.view().revision,
        endpoints,
    }
}

fn milliseconds(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
