//! Requests for completions, and calls to plain services.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cactusnotch_attempt::{Mode, Order};
use cactusnotch_base::name::{Model, Organisation};
use cactusnotch_base::number::Sequence;
use cactusnotch_base::outcome::Key;
use cactusnotch_base::{Clock, Outcome};
use cactusnotch_claim as claim;
use cactusnotch_claim::kind::{self, Bare};
use cactusnotch_ledger::message::Repeat;
use cactusnotch_ledger::{Attempt, Identity};
use cactusnotch_route::{Service, prefix};
use cactusnotch_settings::{Resolved, resolved};
use cactusnotch_spread::Standing;
use cactusnotch_telemetry::trace::{Context, Span};
use cactusnotch_wire::Call;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use rand::Rng;
use serde::Deserialize;
use uuid::Uuid;
use xxhash_rust::xxh3::Xxh3;

use crate::admission;
use crate::body::Body;
use crate::drive::{self, Job};
use crate::headers::{Headers, LAST_EVENT_ID, ORGANISATION, text};
use crate::output::Output;
use crate::problem::Problem;
use crate::shared::Shared;
use crate::tickets;

/// The name of the entry's span of a request.
const SPAN: &str = "entry";

/// The `Retry-After` of an entry that accepts no work.
const NOT_READY_RETRY: Duration = Duration::from_secs(1);

/// The approximate number of bytes per token of a prompt.
const BYTES_PER_TOKEN: usize = 4;

/// The part of a completion request that routing reads.
#[derive(Debug, Deserialize)]
struct Completion {
    model: String,
}

/// Answers a request for a completion.
pub(crate) async fn answer<C: Clock>(
    shared: &Arc<Shared<C>>,
    request: Request<Incoming>,
) -> Result<Response<Body>, Problem> {
    let headers = Headers::read(request.headers())?;
    let (method, path) = target(&request);
    let payload = receive(shared, request).await?;
    let completion: Completion = serde_json::from_slice(&payload)
        .map_err(|error| Problem::malformed(format!("body: {error}")))?;
    let service = Service::Model(Model::new(completion.model));
    start(shared, service, headers, method, path, payload).await
}

/// Forwards a call to a plain service.
pub(crate) async fn forward<C: Clock>(
    shared: &Arc<Shared<C>>,
    request: Request<Incoming>,
) -> Result<Response<Body>, Problem> {
    let service = plain_service(&shared.settings(), &request)?;
    let headers = Headers::read(request.headers())?;
    let (method, path) = target(&request);
    let payload = receive(shared, request).await?;
    start(shared, service, headers, method, path, payload).await
}

async fn start<C: Clock>(
    shared: &Arc<Shared<C>>,
    service: Service,
    headers: Headers,
    method: String,
    path: String,
    payload: Bytes,
) -> Result<Response<Body>, Problem> {
    check_ready(shared)?;
    let settings = shared.settings();
    let organisation = settings
        .organisation(headers.organisation.as_str())
        .ok_or_else(|| unknown_organisation(&headers.organisation))?;
    check_allowed(&settings, &service, &headers.organisation)?;
    let call = Call {
        method,
        path,
        content_type: headers.content_type.clone(),
        priority: u8::try_from(organisation.priority).unwrap_or(u8::MAX),
        payload,
    };
    let order = order(shared, organisation, &service, &headers, &call)?;
    let permit = admission::enter(shared, &service, &headers.organisation, organisation).await?;
    let seed = xxhash_rust::xxh3::xxh3_64(headers.organisation.as_str().as_bytes());
    let job = Job {
        permit,
        order,
        service,
        tokens: u32::try_from(call.payload.len() / BYTES_PER_TOKEN).unwrap_or(u32::MAX),
        prefix: prefix::blocks(seed, &call.payload),
        call,
        span: span(shared, headers.trace.as_deref()),
    };
    let (output, response) = Output::new();
    tokio::spawn(drive::run(Arc::clone(shared), job, output));
    response.await.map_err(|_| task_failed())
}

/// Refuses work while the entry's settings may be out of date.
fn check_ready<C: Clock>(shared: &Shared<C>) -> Result<(), Problem> {
    match shared.node.standing() {
        Standing::Serving | Standing::Leaving => Ok(()),
        Standing::Joining | Standing::Isolated | Standing::Superseded => Err(Problem::new(
            "not-ready",
            "The entry takes no work now",
            StatusCode::SERVICE_UNAVAILABLE,
            Outcome::NotRun,
            "the entry cannot prove that it holds the newest settings",
        )
        .after(NOT_READY_RETRY)),
    }
}

fn order<C: Clock>(
    shared: &Shared<C>,
    organisation: &resolved::Organisation,
    service: &Service,
    headers: &Headers,
    call: &Call,
) -> Result<Order, Problem> {
    let is_idempotent = match service {
        Service::Model(_) => organisation.is_idempotent,
        Service::Path(prefix) => {
            let mut routes = organisation.routes.iter();
            routes.any(|route| route.prefix == *prefix && route.repeatable)
        }
    };
    let repeat = headers.repeat.unwrap_or(if is_idempotent {
        Repeat::Idempotent
    } else {
        Repeat::Once
    });
    if headers.after > Sequence(0) && (headers.key.is_none() || repeat == Repeat::Idempotent) {
        // Another run may produce different pieces, and only the keys of
        // non-idempotent requests identify the agent of their run.
        return Err(Problem::malformed(format!(
            "header {LAST_EVENT_ID}: only a non-idempotent request with a key can be resumed"
        )));
    }
    let (key, mode) = match &headers.key {
        Some(key) => (
            key.clone(),
            mode(shared, organisation, headers, key, repeat)?,
        ),
        None => (Key::new(Uuid::new_v4().to_string()), Mode::Private),
    };
    let linger = match mode {
        Mode::Private => Duration::ZERO,
        Mode::Claim | Mode::Ticket(_) | Mode::Resume(_) => shared.options.linger,
    };
    Ok(Order {
        identity: Identity {
            organisation: headers.organisation.clone(),
            key,
        },
        digest: digest(call),
        repeat,
        mode,
        conversation: Attempt(Uuid::new_v4()),
        after: headers.after,
        deadline: shared.clock.now() + organisation.deadline,
        linger_ms: u64::try_from(linger.as_millis()).unwrap_or(u64::MAX),
    })
}

/// Returns the mode by which the agent of a keyed request is selected.
fn mode<C: Clock>(
    shared: &Shared<C>,
    organisation: &resolved::Organisation,
    headers: &Headers,
    key: &Key,
    repeat: Repeat,
) -> Result<Mode, Problem> {
    let bare = if organisation.accepts_bare_keys || repeat == Repeat::Idempotent {
        Bare::Accept
    } else {
        Bare::Refuse
    };
    let wall = shared.clock.wall();
    let defaults = &shared.options.claim;
    let options = claim::Options {
        lifetime: organisation.key_lifetime.min(defaults.lifetime),
        ..defaults.clone()
    };
    match kind::mode(
        key,
        &headers.organisation,
        &shared.signer,
        bare,
        &options,
        wall,
    ) {
        Ok(kind::Mode::Claim) => Ok(Mode::Claim),
        Ok(kind::Mode::Ticket(terms)) => Ok(Mode::Ticket(terms)),
        Err(refusal) => Err(Problem::new(
            "key-refused",
            "The key cannot be used",
            StatusCode::UNPROCESSABLE_ENTITY,
            refusal.outcome(),
            refusal.to_string(),
        )),
    }
}

/// Issues a ticket for one request.
pub(crate) async fn ticket<C: Clock>(
    shared: &Arc<Shared<C>>,
    request: Request<Incoming>,
) -> Result<Response<Body>, Problem> {
    check_ready(shared)?;
    let headers = Headers::read(request.headers())?;
    let payload = receive(shared, request).await?;
    let requirement = serde_json::from_slice(&payload)
        .map_err(|error| Problem::malformed(format!("body: {error}")))?;
    let settings = shared.settings();
    if settings
        .organisation(headers.organisation.as_str())
        .is_none()
    {
        return Err(unknown_organisation(&headers.organisation));
    }
    tickets::issue(shared, headers.organisation, &requirement)
}

fn target(request: &Request<Incoming>) -> (String, String) {
    let path = request
        .uri()
        .path_and_query()
        .map_or_else(|| request.uri().path().to_owned(), ToString::to_string);
    (request.method().to_string(), path)
}

/// Reads the body of a request within the limits on size and time.
async fn receive<C: Clock>(
    shared: &Shared<C>,
    request: Request<Incoming>,
) -> Result<Bytes, Problem> {
    let limit = shared.options.body_limit;
    let body = Limited::new(request.into_body(), limit).collect();
    match tokio::time::timeout(shared.options.receive_timeout, body).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => Err(Problem::new(
            "too-large",
            "The request is too large",
            StatusCode::PAYLOAD_TOO_LARGE,
            Outcome::NotRun,
            format!("the body is longer than {limit} bytes"),
        )),
        Ok(Err(error)) => Err(Problem::malformed(format!("body: {error}"))),
        Err(_) => Err(Problem::new(
            "too-slow",
            "The request came too slowly",
            StatusCode::REQUEST_TIMEOUT,
            Outcome::NotRun,
            "the body did not come in time",
        )),
    }
}

/// Returns a hash over the method, path and payload of a call.
fn digest(call: &Call) -> u64 {
    let mut hasher = Xxh3::new();
    for part in [call.method.as_bytes(), call.path.as_bytes(), &call.payload] {
        hasher.update(&part.len().to_le_bytes());
        hasher.update(part);
    }
    hasher.digest()
}

/// Starts the entry's span, within the caller's trace if the request has one.
fn span<C: Clock>(shared: &Shared<C>, header: Option<&str>) -> Span<C> {
    let mut random = rand::rng();
    let clock = shared.clock.clone();
    if let Some(parent) = header.and_then(|text| text.parse::<Context>().ok()) {
        return Span::child(SPAN, &parent, &mut random, clock);
    }
    let is_sampled = random.random_bool(shared.options.trace_fraction);
    Span::root(SPAN, Context::root(&mut random, is_sampled), clock)
}

/// Refuses a model that no group serves for the organisation.
fn check_allowed(
    settings: &Resolved,
    service: &Service,
    organisation: &Organisation,
) -> Result<(), Problem> {
    let Service::Model(model) = service else {
        return Ok(());
    };
    let mut groups = settings.serving(model.as_str(), organisation.as_str());
    match groups.next() {
        Some(_) => Ok(()),
        None => Err(Problem::absent(format!(
            "no group serves the model {model} to {organisation}"
        ))),
    }
}

/// Returns the plain service that the caller's organisation declares for the
/// path of a request.
fn plain_service(settings: &Resolved, request: &Request<Incoming>) -> Result<Service, Problem> {
    let path = request.uri().path();
    let absent = || Problem::absent(format!("no service of the organisation under {path}"));
    let name = text(request.headers(), ORGANISATION)?.ok_or_else(absent)?;
    let organisation = settings.organisation(name).ok_or_else(absent)?;
    let route = organisation.route(path).ok_or_else(absent)?;
    Ok(Service::Path(route.prefix.clone()))
}

fn unknown_organisation(name: &Organisation) -> Problem {
    Problem::new(
        "unknown-organisation",
        "The organisation is not known",
        StatusCode::FORBIDDEN,
        Outcome::NotRun,
        format!("no organisation {name} in the settings"),
    )
}

fn task_failed() -> Problem {
    Problem::new(
        "internal",
        "The entry failed",
        StatusCode::INTERNAL_SERVER_ERROR,
        Outcome::Unknown,
        "the request's task ended without an answer",
    )
}
