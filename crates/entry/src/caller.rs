//! The HTTP interface for callers.

use std::convert::Infallible;
use std::sync::Arc;

use cactusnotch_base::Clock;
use cactusnotch_telemetry::metric;
use hyper::body::Incoming;
use hyper::{Method, Request, Response};

use crate::body::Body;
use crate::shared::Shared;
use crate::{addresses, completion, models};

/// The path that lists the addresses of entries.
const ADDRESSES: &str = "/v1/addresses";

/// The path that lists the available models.
const MODELS: &str = "/v1/models";

/// The path that issues tickets.
const TICKETS: &str = "/v1/tickets";

/// The paths that are routed to model servers.
const COMPLETIONS: [&str; 2] = ["/v1/chat/completions", "/v1/completions"];

/// Answers one request of a caller.
pub(crate) async fn answer<C: Clock>(
    shared: Arc<Shared<C>>,
    request: Request<Incoming>,
) -> Result<Response<Body>, Infallible> {
    let answered = match (request.method(), request.uri().path()) {
        (&Method::GET, ADDRESSES) => Ok(addresses::answer(&shared)),
        (&Method::GET, MODELS) => Ok(models::answer(&shared)),
        (&Method::POST, TICKETS) => completion::ticket(&shared, request).await,
        (&Method::POST, path) if COMPLETIONS.contains(&path) => {
            completion::answer(&shared, request).await
        }
        _ => completion::forward(&shared, request).await,
    };
    Ok(answered.unwrap_or_else(|problem| {
        let outcome = problem.outcome.to_string();
        metrics::counter!(metric::ENTRY_REFUSALS, "outcome" => outcome).increment(1);
        problem.response()
    }))
}
