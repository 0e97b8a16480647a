//! The HTTP interface for operators.

use std::sync::Arc;
use std::time::Duration;

use cactusnotch_base::Clock;
use rouille::{Request, Response};

use crate::shared::Shared;
use crate::status::{Lagging, Observation, Status};

/// Answers one request of an operator.
pub(crate) fn answer<C: Clock>(shared: &Arc<Shared<C>>, request: &Request) -> Response {
    match (request.method(), request.url().as_str()) {
        ("GET", "/status") => Response::json(&status(shared)),
        _ => Response::empty_404(),
    }
}

fn status<C: Clock>(shared: &Shared<C>) -> Status {
    let identity = &shared.options.node.link.identity;
    let spread = shared.node.status();
    Status {
        process: identity.process.clone(),
        data_centre: identity.data_centre.clone(),
        incarnation: identity.incarnation,
        standing: format!("{:?}", spread.standing).to_lowercase(),
        revision: shared.node.view().revision,
        newest: spread.newest.0.into(),
        in_force: spread.in_force.0.into(),
        lacking: spread.lacking,
        lagging: spread.laggards.iter().map(Lagging::from).collect(),
        connections: shared.stopping.connections(),
        waiting: shared.admission.waiting(),
        endpoints: endpoints(shared),
    }
}

fn endpoints<C: Clock>(shared: &Shared<C>) -> Vec<Observation> {
    let last_seen = shared.agents.last_seen(shared.clock.now());
    let router = shared.router();
    last_seen
        .into_iter()
        .map(|(endpoint, ago)| Observation {
            state: router.state(&endpoint).unwrap_or_default().to_string(),
            requests: router.own_load(&endpoint).requests,
            heard_ms: ago.map(milliseconds),
            endpoint,
        })
        .collect()
}

fn milliseconds(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
