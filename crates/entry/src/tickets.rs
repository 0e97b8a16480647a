//! Tickets: keys that name the only agent that may run their request.

use std::sync::Arc;
use std::time::{Duration, SystemTime};

use cactusnotch_base::Clock;
use cactusnotch_base::name::{Model, Organisation};
use cactusnotch_claim::Ticket;
use cactusnotch_route::{self as route, Service};
use hyper::Response;
use serde::{Deserialize, Serialize};
use uuid::Uuid;

use crate::body::Body;
use crate::models::json;
use crate::problem::Problem;
use crate::shared::Shared;

/// The `Retry-After` if no endpoint accepts work.
const RETRY: Duration = Duration::from_secs(1);

/// The request that a ticket is to be issued for.
#[derive(Debug, Deserialize)]
pub(crate) struct Requirement {
    model: String,
}

#[derive(Debug, Serialize)]
struct Issued {
    key: String,
    expires_in_seconds: u64,
}

/// Issues a ticket for one request of `organisation`.
pub(crate) fn issue<C: Clock>(
    shared: &Arc<Shared<C>>,
    organisation: Organisation,
    requirement: &Requirement,
) -> Result<Response<Body>, Problem> {
    let service = Service::Model(Model::new(requirement.model.as_str()));
    let request = route::Request {
        service: &service,
        tokens: 0,
        prefix: &[],
        tried: &[],
        may_probe: false,
        allowed_data_centres: None,
        group: None,
    };
    let now = shared.clock.now();
    let chosen = shared.router().choose(&request, now, &mut rand::rng());
    let (terms, _) = chosen
        .ok()
        .and_then(|choice| shared.agents.terms(&choice.endpoint))
        .ok_or_else(|| Problem::unavailable("no endpoint takes requests for the model", RETRY))?;
    let issued = milliseconds(shared.clock.wall());
    let lifetime = shared.options.claim.lifetime;
    let ticket = Ticket {
        organisation,
        terms,
        issued_ms: issued,
        expires_ms: issued + u64::try_from(lifetime.as_millis()).unwrap_or(u64::MAX / 2),
        nonce: Uuid::new_v4(),
    };
    Ok(json(&Issued {
        key: shared.signer.sign(&ticket).as_str().to_owned(),
        expires_in_seconds: lifetime.as_secs(),
    }))
}

fn milliseconds(wall: SystemTime) -> u64 {
    let elapsed = wall
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}
