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
use crate::manner::{LAST_EVENT_ID, Manner, ORGANISATION, text};
use crate::output::Output;
use crate::problem::Problem;
use crate::shared::Shared;
use crate::tickets;

/// The name of the entry's span of a request.
const SPAN: &str = "entry";

/// When to come back to an entry that takes no work.
const NOT_READY_RETRY: Duration = Duration::from_secs(1);

/// The bytes of a prompt that make about one token.
const BYTES_PER_TOKEN: usize = 4;

/// The part of a completion request that routing looks at.
#[derive(Debug, Deserialize)]
struct Ask {
    model: String,
}

/// Answers a request for a completion.
pub(crate) async fn answer<C: Clock>(
    shared: &Arc<Shared<C>>,
    request: Request<Incoming>,
) -> Result<Response<Body>, Problem> {
    let manner = Manner::read(request.headers())?;
    let (method, path) = target(&request);
    let payload = receive(shared, request).await?;
    let ask: Ask = serde_json::from_slice(&payload)
        .map_err(|error| Problem::malformed(format!("body: {error}")))?;
    let service = Service::Model(Model::new(ask.model));
    start(shared, service, manner, method, path, payload).await
}

/// Forwards a call to a plain service.
pub(crate) async fn forward<C: Clock>(
    shared: &Arc<Shared<C>>,
    request: Request<Incoming>,
) -> Result<Response<Body>, Problem> {
    let service = plain(&shared.settings(), &request)?;
    let manner = Manner::read(request.headers())?;
    let (method, path) = target(&request);
    let payload = receive(shared, request).await?;
    start(shared, service, manner, method, path, payload).await
}

async fn start<C: Clock>(
    shared: &Arc<Shared<C>>,
    service: Service,
    manner: Manner,
    method: String,
    path: String,
    payload: Bytes,
) -> Result<Response<Body>, Problem> {
    stand(shared)?;
    let settings = shared.settings();
    let organisation = settings
        .organisation(manner.organisation.as_str())
        .ok_or_else(|| unknown_organisation(&manner.organisation))?;
    check_allowed(&settings, &service, &manner.organisation)?;
    let call = Call {
        method,
        path,
        content_type: manner.content_type.clone(),
        priority: u8::try_from(organisation.priority).unwrap_or(u8::MAX),
        payload,
    };
    let order = order(shared, organisation, &service, &manner, &call)?;
    let permit = admission::enter(shared, &service, &manner.organisation, organisation).await?;
    let seed = xxhash_rust::xxh3::xxh3_64(manner.organisation.as_str().as_bytes());
    let job = Job {
        permit,
        order,
        service,
        tokens: u32::try_from(call.payload.len() / BYTES_PER_TOKEN).unwrap_or(u32::MAX),
        prefix: prefix::blocks(seed, &call.payload),
        call,
        span: span(shared, manner.trace.as_deref()),
    };
    let (output, response) = Output::new();
    tokio::spawn(drive::run(Arc::clone(shared), job, output));
    response.await.map_err(|_| lost())
}

/// Refuses work while the settings that the entry holds may be old ones.
fn stand<C: Clock>(shared: &Shared<C>) -> Result<(), Problem> {
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
    manner: &Manner,
    call: &Call,
) -> Result<Order, Problem> {
    let is_idempotent = match service {
        Service::Model(_) => organisation.is_idempotent,
        Service::Path(prefix) => {
            let mut routes = organisation.routes.iter();
            routes.any(|route| route.prefix == *prefix && route.repeatable)
        }
    };
    let repeat = manner.repeat.unwrap_or(if is_idempotent {
        Repeat::Idempotent
    } else {
        Repeat::Once
    });
    if manner.after > Sequence(0) && (manner.key.is_none() || repeat == Repeat::Idempotent) {
        // Another run may make other pieces, and only the keys of
        // non-idempotent requests say where their run is.
        return Err(Problem::malformed(format!(
            "header {LAST_EVENT_ID}: only a non-idempotent request with a key can be resumed"
        )));
    }
    let (key, mode) = match &manner.key {
        Some(key) => (
            key.clone(),
            mode(shared, organisation, manner, key, repeat)?,
        ),
        None => (Key::new(Uuid::new_v4().to_string()), Mode::Private),
    };
    let linger = match mode {
        Mode::Private => Duration::ZERO,
        Mode::Claim | Mode::Ticket(_) | Mode::Resume(_) => shared.options.linger,
    };
    Ok(Order {
        identity: Identity {
            organisation: manner.organisation.clone(),
            key,
        },
        digest: digest(call),
        repeat,
        mode,
        conversation: Attempt(Uuid::new_v4()),
        after: manner.after,
        deadline: shared.clock.now() + organisation.deadline,
        linger_ms: u64::try_from(linger.as_millis()).unwrap_or(u64::MAX),
    })
}

/// Returns how the agent that may run a keyed request is found.
fn mode<C: Clock>(
    shared: &Shared<C>,
    organisation: &resolved::Organisation,
    manner: &Manner,
    key: &Key,
    repeat: Repeat,
) -> Result<Mode, Problem> {
    let bare = if organisation.accepts_bare_keys || repeat == Repeat::Idempotent {
        Bare::Accept
    } else {
        Bare::Refuse
    };
    let wall = shared.clock.wall();
    let memory = &shared.options.claim;
    let options = claim::Options {
        lifetime: organisation.key_lifetime.min(memory.lifetime),
        ..memory.clone()
    };
    match kind::mode(
        key,
        &manner.organisation,
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
    stand(shared)?;
    let manner = Manner::read(request.headers())?;
    let payload = receive(shared, request).await?;
    let wish = serde_json::from_slice(&payload)
        .map_err(|error| Problem::malformed(format!("body: {error}")))?;
    let settings = shared.settings();
    if settings
        .organisation(manner.organisation.as_str())
        .is_none()
    {
        return Err(unknown_organisation(&manner.organisation));
    }
    tickets::issue(shared, manner.organisation, &wish)
}

fn target(request: &Request<Incoming>) -> (String, String) {
    let path = request
        .uri()
        .path_and_query()
        .map_or_else(|| request.uri().path().to_owned(), ToString::to_string);
    (request.method().to_string(), path)
}

/// Reads the body of a request, within the bounds of size and time.
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

/// Returns a hash of everything that makes two calls the same.
fn digest(call: &Call) -> u64 {
    let mut hasher = Xxh3::new();
    for part in [call.method.as_bytes(), call.path.as_bytes(), &call.payload] {
        hasher.update(&part.len().to_le_bytes());
        hasher.update(part);
    }
    hasher.digest()
}

/// Starts the entry's span, in the caller's trace if it named one.
fn span<C: Clock>(shared: &Shared<C>, header: Option<&str>) -> Span<C> {
    let mut random = rand::rng();
    let clock = shared.clock.clone();
    if let Some(parent) = header.and_then(|text| text.parse::<Context>().ok()) {
        return Span::child(SPAN, &parent, &mut random, clock);
    }
    let is_sampled = random.random_bool(shared.options.trace_fraction);
    Span::root(SPAN, Context::root(&mut random, is_sampled), clock)
}

/// Refuses a model that no group serves to the organisation.
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

/// Returns the plain service that the caller's organisation has under the
/// path of a request.
fn plain(settings: &Resolved, request: &Request<Incoming>) -> Result<Service, Problem> {
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

fn lost() -> Problem {
    Problem::new(
        "internal",
        "The entry failed",
        StatusCode::INTERNAL_SERVER_ERROR,
        Outcome::Unknown,
        "the request's task ended without an answer",
    )
}
