//! Sends a request to one endpoint.

use std::rc::Rc;
use std::time::Duration;

use cactusnotch_base::clock::{self, Instant};
use cactusnotch_base::name;
use cactusnotch_overload::{Kind, Reach};
use cactusnotch_route::{attempt::End, choice};
use http::response::Parts;
use http::{Method, Response, StatusCode, header};
use hyper::body::{Body, Incoming};
use rand::Rng;

use crate::admission::{self, Forecast, Targets};
use crate::answer::RESPONSE_MAX;
use crate::channel;
use crate::crash::BrokenRun;
use crate::decide::{Failure, Lifecycle};
use crate::dialect::Dialect;
use crate::endpoint::Endpoint;
use crate::fleet::{Chosen, Criteria, Shortage};
use crate::journal::millis;
use crate::knowledge::SharedState;
use crate::pool::{self, KeepAlive, Lease, Reuse};
use crate::request::Call;
use crate::route::RetryPolicy;
use crate::running::Running;
use crate::waiting;
use cactusnotch_throttle::Header;

/// The validated head of a response, with everything needed to read its body.
#[derive(Debug)]
pub(crate) struct Reply {
    pub(crate) head: Parts,
    pub(crate) body: Incoming,
    pub(crate) lease: Lease,
    pub(crate) running: Running,
    /// Whether the endpoint keeps the connection open after its response.
    pub(crate) keep_alive: KeepAlive,
}

/// A send that got no usable response.
#[derive(Debug)]
pub(crate) struct Failed {
    pub(crate) failure: Failure,
    /// The cause, for the log.
    pub(crate) cause: String,
    /// The run to be probed for a crash of its endpoint, if its connection failed.
    pub(crate) broken_run: Option<BrokenRun>,
}

/// Why no endpoint was selected.
#[derive(Debug)]
pub(crate) enum Unserved {
    /// No endpoint is eligible.
    None(choice::Error),
    /// All endpoints are so full that the request would be late.
    Busy,
    /// The request is quarantined.
    Held,
}

/// Selects an endpoint and counts the request there. A request that was sent before may exceed
/// the capacity of a group.
pub(crate) fn choose(
    shared: &Rc<SharedState>,
    call: &Call,
    tried: &[name::Endpoint],
    now: Instant,
) -> Result<(Endpoint, Running), Unserved> {
    let reach = call.class.map(Reach::Class);
    select(shared, call, tried, reach, tried.is_empty(), now)
}

/// Selects an endpoint for a request of the queue in a group of which it may fill the part
/// `reach`, and counts the request there.
pub(crate) fn choose_queued(
    shared: &Rc<SharedState>,
    call: &Call,
    tried: &[name::Endpoint],
    (kind, reach): (Kind, Reach),
    now: Instant,
) -> Result<(Endpoint, Running), Unserved> {
    // The capacity of a group also binds moved streams, which were sent before.
    let is_bound = kind == Kind::Moved || tried.is_empty();
    select(shared, call, tried, Some(reach), is_bound, now)
}

fn select(
    shared: &Rc<SharedState>,
    call: &Call,
    tried: &[name::Endpoint],
    reach: Option<Reach>,
    is_bound: bool,
    now: Instant,
) -> Result<(Endpoint, Running), Unserved> {
    let service = &call.resolved.service;
    let regions = call.resolved.allowed_regions.as_ref();
    let within = regions.map(|regions| shared.options().regions.data_centres(regions));
    let criteria = Criteria {
        tokens: call.head.prompt_tokens,
        tried,
        is_bound,
        may_probe: call.resolved.route.retry_policy == RetryPolicy::Idempotent,
        within: within.as_deref(),
    };
    if shared.quarantined_for(call, now).is_some() {
        return Err(Unserved::Held);
    }
    shared.drop_missing(now);
    let (choice, attempt, snapshot) = start(shared, call, &criteria, reach, now)?;
    let endpoint = shared.fleet.borrow().get(choice.endpoint.as_str()).cloned();
    let Some(endpoint) = endpoint else {
        return Err(Unserved::None(choice::Error::Unknown));
    };
    let forecast = forecast(shared, &choice, now);
    let running = Running {
        shared: Rc::clone(shared),
        id: call.head.id.clone(),
        service: service.clone(),
        address: endpoint.address,
        attempt,
        end: End::Inconclusive,
        pieces: 0,
        forecast,
        snapshot,
        sent: None,
        first: None,
        lived: None,
        line: None,
    };
    // Admission control applies to the first send only: a retry is worth no less.
    let admitted = !tried.is_empty() || admits(shared, call, &running, now);
    if admitted {
        Ok((endpoint, running))
    } else {
        Err(Unserved::Busy)
    }
}

/// Selects an endpoint, first a group of ranks if the request has a class, and counts the
/// request there.
fn start(
    shared: &SharedState,
    call: &Call,
    criteria: &Criteria<'_>,
    reach: Option<Reach>,
    now: Instant,
) -> Result<Chosen, Unserved> {
    let service = &call.resolved.service;
    let entries = shared.peers.borrow().count();
    let mut fleet = shared.fleet.borrow_mut();
    let mut rng = shared.rng.borrow_mut();
    let Some(reach) = reach.filter(|_| fleet.has_groups(service)) else {
        let started = fleet.start(service, criteria, None, now, &mut rng);
        let (choice, attempt) = started.map_err(Unserved::None)?;
        return Ok((choice, attempt, None));
    };
    fleet.renew_groups(entries, now, &mut *rng);
    let started = fleet.start_in_group(service, reach, criteria, now, &mut rng);
    started.map_err(|shortage| match shortage {
        Shortage::Busy => Unserved::Busy,
        Shortage::None(error) => Unserved::None(error),
    })
}

/// Returns whether an untried endpoint has a free slot for the request, and the retry
/// budget allows sending it there.
pub(crate) fn may_move(
    shared: &Rc<SharedState>,
    call: &Call,
    tried: &[name::Endpoint],
    now: Instant,
) -> bool {
    let service = &call.resolved.service;
    if !shared.retry_budgets.borrow_mut().can_retry(service) {
        return false;
    }
    let chosen = choose(shared, call, tried, now);
    chosen.is_ok_and(|(_, running)| !running.forecast.full)
}

/// Waits until the request should move to another endpoint: nothing has arrived for
/// [`STALL_TIME`], its endpoint is lost, and another one has a free slot.
pub(crate) async fn wait_until_lost(
    shared: &Rc<SharedState>,
    call: &Call,
    tried: &[name::Endpoint],
    endpoint: &name::Endpoint,
) {
    tokio::time::sleep(STALL_TIME).await;
    loop {
        let now = clock::now();
        let lost = shared.fleet.borrow().is_lost(endpoint.as_str(), now);
        if lost && may_move(shared, call, tried, now) {
            return;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Returns the predicted service of a request at the selected endpoint.
fn forecast(shared: &SharedState, choice: &choice::Choice, now: Instant) -> Forecast {
    Forecast {
        full: choice.reason == choice::Reason::Full,
        slot_wait: choice.wait,
        utilisation: choice.utilisation,
        first: choice.predicted,
        pass_time: shared.fleet.borrow().pass(choice.endpoint.as_str(), now),
    }
}

/// Returns whether admission control admits the request.
fn admits(shared: &SharedState, call: &Call, running: &Running, now: Instant) -> bool {
    let forecast = &running.forecast;
    let route = &call.resolved.route;
    let targets = Targets {
        first_event: route.target_latency,
        max_event_gap: route.max_event_gap,
    };
    if running.snapshot.is_some() {
        // The limit of the group keeps its passes short.
        return !admission::is_late(forecast, &targets);
    }
    let draw = shared.rng.borrow_mut().random();
    admission::admits(call.caller(now), forecast, &targets, draw)
}

/// The time without an event after which the endpoint is checked for being lost. It is
/// far longer than the longest event gap that is on time, and far shorter than the two
/// seconds after which callers disconnect: a frozen host can't be notified to drop
/// their requests.
const STALL_TIME: Duration = Duration::from_millis(500);
/// The interval at which the endpoint is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Sends the request to `endpoint` and waits for the head of the response.
pub(crate) async fn send<D: Dialect>(
    shared: &Rc<SharedState>,
    call: &Call,
    lifecycle: &mut Lifecycle,
    endpoint: &Endpoint,
    mut running: Running,
    last_event: Option<u64>,
) -> Result<Reply, Failed> {
    if call.class.is_some() {
        running.track(waiting::Key::of(call), clock::now());
    }
    let first = lifecycle.sent() == 0;
    let mut lease = connect(shared, call, endpoint, first, &mut running).await?;
    let now = clock::now();
    let admitted = shared.fleet.borrow_mut().admit(endpoint, now);
    if let Err(exclusion) = admitted {
        return Err(Failed::new(Failure::Unsent, &exclusion.to_string()));
    }
    let request = call.outgoing::<D>(endpoint, last_event, now);
    lifecycle.record_send();
    running.sent = Some(now);
    let Some(channel) = lease.channel() else {
        return Err(Failed::new(Failure::Unsent, "no connection"));
    };
    let response = channel.send(request).await.map_err(|error| match error {
        channel::Error::Unsent { .. } => Failed::new(Failure::Unsent, &error.to_string()),
        channel::Error::Interim { .. } | channel::Error::Head { .. } => {
            running.record_failure();
            Failed::new(Failure::Uncertain, &error.to_string())
        }
        _ => Failed::broken(&mut running, &error.to_string()),
    })?;
    check::<D>(call, endpoint, response, lease, running)
}

async fn connect(
    shared: &Rc<SharedState>,
    call: &Call,
    endpoint: &Endpoint,
    first: bool,
    running: &mut Running,
) -> Result<Lease, Failed> {
    // The endpoint may already have closed a kept connection, or have left an extra
    // response on it. A request that must not be sent twice is not risked on one, nor
    // is a retry, which may be the last attempt.
    let reuse = match call.resolved.route.retry_policy {
        RetryPolicy::Idempotent | RetryPolicy::Resume if first => Reuse::Allowed,
        RetryPolicy::Never | RetryPolicy::Idempotent | RetryPolicy::Resume => Reuse::Never,
    };
    let max_open = shared.connections(&endpoint.service);
    let pool = shared.pool.clone();
    pool.take(endpoint, max_open, reuse, clock::now())
        .await
        .map_err(|error| match error {
            pool::Error::Full => Failed::new(
                Failure::Unsent,
                "the entry's connections to the endpoint are all in use",
            ),
            pool::Error::Connect(error) => {
                running.record_failure();
                Failed::new(Failure::Unsent, &error.to_string())
            }
        })
}

/// Validates that the response belongs to the request and comes from the endpoint.
fn check<D: Dialect>(
    call: &Call,
    endpoint: &Endpoint,
    response: Response<Incoming>,
    lease: Lease,
    mut running: Running,
) -> Result<Reply, Failed> {
    let (head, body) = response.into_parts();
    let info = D::response_info(&head.headers, head.status, call.head.id.as_deref());
    let sent = running.sent;
    running
        .shared
        .apply_headers(endpoint, &info, sent, clock::now());
    if info.refused && !info.foreign {
        let cause = match info.statement.backoff {
            Header::Value(backoff) => format!(
                "the endpoint refused with {} and asks for {} ms of rest",
                head.status,
                millis(backoff)
            ),
            Header::Absent | Header::Invalid => {
                format!("the endpoint refused with {}", head.status)
            }
        };
        return Err(Failed::new(Failure::Refused, &cause));
    }
    let fault = if info.foreign {
        Some("an answer to another request")
    } else if head.headers.contains_key(header::CONTENT_ENCODING) {
        Some("an answer with a content encoding")
    } else if !info.signed {
        Some("an unsigned answer")
    } else if call.method != Method::HEAD && body.size_hint().lower() > RESPONSE_MAX {
        Some("an answer that is too long")
    } else {
        None
    };
    if let Some(cause) = fault {
        running.record_failure();
        return Err(Failed::new(Failure::Uncertain, cause));
    }
    if is_retryable(head.status, call.resolved.route.retry_policy) {
        running.record_failure();
    }
    let keep_alive = keep_alive(&head);
    Ok(Reply {
        head,
        body,
        lease,
        running,
        keep_alive,
    })
}

/// Returns whether, and for how long, the endpoint keeps the connection open.
fn keep_alive(head: &Parts) -> KeepAlive {
    let text = |name: &str| head.headers.get(name).and_then(|value| value.to_str().ok());
    let closes = text("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"));
    if closes || head.version == http::Version::HTTP_10 {
        return KeepAlive::Closed;
    }
    let stated = text("keep-alive").and_then(|value| {
        let seconds = value
            .split(',')
            .find_map(|part| part.trim().strip_prefix("timeout="))?;
        seconds.trim().parse().ok().map(Duration::from_secs)
    });
    stated.map_or(KeepAlive::Open, KeepAlive::For)
}

impl Failed {
    pub(crate) fn new(failure: Failure, cause: &str) -> Self {
        Self {
            failure,
            cause: cause.to_owned(),
            broken_run: None,
        }
    }

    /// Creates the failure of a run whose connection broke: the request may have run.
    pub(crate) fn broken(running: &mut Running, cause: &str) -> Self {
        running.record_failure();
        Self {
            broken_run: running.broken_run(clock::now()),
            ..Self::new(Failure::Uncertain, cause)
        }
    }
}

/// Returns whether a response is a server error for a request that may be retried at
/// another endpoint.
pub(crate) fn is_retryable(status: StatusCode, retry_policy: RetryPolicy) -> bool {
    status.is_server_error() && retry_policy == RetryPolicy::Idempotent
}
