//! One send of a request to one endpoint.

use std::rc::Rc;
use std::time::Duration;

use cactusnotch_base::clock::{self, Instant};
use cactusnotch_base::name;
use cactusnotch_route::{attempt::End, choice};
use http::response::Parts;
use http::{Response, StatusCode, header};
use hyper::body::Incoming;
use rand::Rng;

use crate::admission::{self, Forecast, Targets};
use crate::channel;
use crate::crash::Cut;
use crate::decide::{Failure, Lifecycle};
use crate::dialect::Dialect;
use crate::endpoint::Endpoint;
use crate::fleet::Criteria;
use crate::journal::millis;
use crate::knowledge::SharedState;
use crate::pool::{self, Kept, Lease, Reuse};
use crate::request::Call;
use crate::route::RetryPolicy;
use crate::running::Running;
use cactusnotch_throttle::Header;

/// A sound head of an answer, with all that is needed to read the rest.
#[derive(Debug)]
pub(crate) struct Reply {
    pub(crate) head: Parts,
    pub(crate) body: Incoming,
    pub(crate) lease: Lease,
    pub(crate) running: Running,
    /// What the endpoint does with the connection after its answer.
    pub(crate) kept: Kept,
}

/// How a send ended without an answer.
#[derive(Debug)]
pub(crate) struct Failed {
    pub(crate) failure: Failure,
    /// What happened, for the log.
    pub(crate) cause: String,
    /// The run, if its connection broke before it had given anything.
    pub(crate) cut: Option<Cut>,
}

/// Why no endpoint was chosen.
#[derive(Debug)]
pub(crate) enum Unserved {
    /// There is none to choose.
    None(choice::Error),
    /// All are so full that the request would be late.
    Busy,
    /// The request is held.
    Held,
}

/// Chooses an endpoint and counts the request there.
pub(crate) fn choose(
    shared: &Rc<SharedState>,
    call: &Call,
    tried: &[name::Endpoint],
    now: Instant,
) -> Result<(Endpoint, Running), Unserved> {
    let service = &call.judged.service;
    let homes = call.judged.allowed_regions.as_ref();
    let within = homes.map(|homes| shared.options().regions.data_centres(homes));
    let criteria = Criteria {
        tokens: call.head.prompt_tokens,
        tried,
        may_probe: call.judged.route.retry_policy == RetryPolicy::Idempotent,
        within: within.as_deref(),
    };
    if shared.quarantined_for(call, now).is_some() {
        return Err(Unserved::Held);
    }
    shared.drop_missing(now);
    let mut fleet = shared.fleet.borrow_mut();
    let mut rng = shared.rng.borrow_mut();
    let chosen = fleet.start(service, &criteria, now, &mut rng);
    let (choice, attempt) = chosen.map_err(Unserved::None)?;
    let endpoint = fleet.get(choice.endpoint.as_str()).cloned();
    drop(fleet);
    drop(rng);
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
        sent: None,
        first: None,
    };
    // What has been sent once is not worth less by now.
    let admitted = !tried.is_empty() || admits(shared, call, &forecast, now);
    if admitted {
        Ok((endpoint, running))
    } else {
        Err(Unserved::Busy)
    }
}

/// Tells whether an endpoint that was not tried has a free slot for a request, and
/// sending it there can be paid for.
pub(crate) fn may_move(
    shared: &Rc<SharedState>,
    call: &Call,
    tried: &[name::Endpoint],
    now: Instant,
) -> bool {
    let service = &call.judged.service;
    if !shared.budgets.borrow_mut().can_retry(service, now) {
        return false;
    }
    let chosen = choose(shared, call, tried, now);
    chosen.is_ok_and(|(_, running)| !running.forecast.full)
}

/// Waits until a request should go on elsewhere: nothing has come for a while, its
/// endpoint is lost, and another one has room.
pub(crate) async fn lost(
    shared: &Rc<SharedState>,
    call: &Call,
    tried: &[name::Endpoint],
    endpoint: &name::Endpoint,
) {
    tokio::time::sleep(STALLED).await;
    loop {
        let now = clock::now();
        let lost = shared.fleet.borrow().is_lost(endpoint.as_str(), now);
        if lost && may_move(shared, call, tried, now) {
            return;
        }
        tokio::time::sleep(LOOK_AGAIN).await;
    }
}

/// Returns what a request has to expect at the endpoint that was chosen.
fn forecast(shared: &SharedState, choice: &choice::Choice, now: Instant) -> Forecast {
    Forecast {
        full: choice.reason == choice::Reason::Full,
        wait: choice.wait,
        fill: choice.utilisation,
        first: choice.predicted,
        pass: shared.fleet.borrow().pass(choice.endpoint.as_str(), now),
    }
}

/// Tells whether a request is let in.
fn admits(shared: &SharedState, call: &Call, forecast: &Forecast, now: Instant) -> bool {
    let route = &call.judged.route;
    let terms = Targets {
        target: route.target_latency,
        pause: route.max_event_gap,
    };
    let draw = shared.rng.borrow_mut().random();
    admission::admits(call.caller(now), forecast, &terms, draw)
}

/// The time without an event after which it is looked whether the endpoint is lost: far
/// more than the longest pause on time, and far less than the two seconds after which
/// callers leave, whose requests a frozen host can't be told to drop.
const STALLED: Duration = Duration::from_millis(500);
/// How often it is looked again.
const LOOK_AGAIN: Duration = Duration::from_millis(100);

/// Sends the request to `endpoint` and waits for the head of its answer.
pub(crate) async fn send<D: Dialect>(
    shared: &Rc<SharedState>,
    call: &Call,
    lifecycle: &mut Lifecycle,
    endpoint: &Endpoint,
    mut running: Running,
    last_event: Option<u64>,
) -> Result<Reply, Failed> {
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
    // A kept connection may be dropped already, or hold an extra answer. A
    // request that can't be sent twice isn't risked on one, nor is the last
    // chance of one that can.
    let reuse = match call.judged.route.retry_policy {
        RetryPolicy::Idempotent | RetryPolicy::Resume if first => Reuse::Allowed,
        RetryPolicy::Never | RetryPolicy::Idempotent | RetryPolicy::Resume => Reuse::Never,
    };
    let most = shared.connections(&endpoint.service);
    let pool = shared.pool.clone();
    pool.take(endpoint, most, reuse, clock::now())
        .await
        .map_err(|error| match error {
            pool::Error::Full => Failed::new(Failure::Unsent, "the entry's connections are in use"),
            pool::Error::Connect(error) => {
                running.failed();
                Failed::new(Failure::Unsent, &error.to_string())
            }
        })
}

/// Checks whether the answer belongs to the request and is the endpoint's.
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
        .apply_statement(endpoint, &info, sent, clock::now());
    if info.refused && !info.foreign {
        let cause = match info.statement.backoff {
            Header::Value(rest) => format!(
                "the endpoint refused with {} and asks for {} ms of rest",
                head.status,
                millis(rest)
            ),
            Header::Absent | Header::Invalid => {
                format!("the endpoint refused with {}", head.status)
            }
        };
        return Err(Failed::new(Failure::Refused, &cause));
    }
    let doubt = if info.foreign {
        Some("an answer to another request")
    } else if head.headers.contains_key(header::CONTENT_ENCODING) {
        Some("an encoded answer")
    } else if !info.signed {
        Some("an unsigned answer")
    } else {
        None
    };
    if let Some(cause) = doubt {
        running.failed();
        return Err(Failed::new(Failure::Uncertain, cause));
    }
    if worth_repeating(head.status, call.judged.route.retry_policy) {
        running.failed();
    }
    let kept = kept(&head);
    Ok(Reply {
        head,
        body,
        lease,
        running,
        kept,
    })
}

/// Reads how long the endpoint keeps the connection.
fn kept(head: &Parts) -> Kept {
    let text = |name: &str| head.headers.get(name).and_then(|value| value.to_str().ok());
    let closes = text("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"));
    if closes || head.version == http::Version::HTTP_10 {
        return Kept::Closed;
    }
    let stated = text("keep-alive").and_then(|value| {
        let seconds = value
            .split(',')
            .find_map(|part| part.trim().strip_prefix("timeout="))?;
        seconds.trim().parse().ok().map(Duration::from_secs)
    });
    stated.map_or(Kept::Open, Kept::For)
}

impl Failed {
    pub(crate) fn new(failure: Failure, cause: &str) -> Self {
        Self {
            failure,
            cause: cause.to_owned(),
            cut: None,
        }
    }

    /// Returns that the connection of a run has broken, so that whether it ran is open.
    pub(crate) fn broken(running: &mut Running, cause: &str) -> Self {
        running.failed();
        Self {
            cut: running.cut(clock::now()),
            ..Self::new(Failure::Uncertain, cause)
        }
    }
}

/// Tells whether an answer is the endpoint's own failure of a request that
/// may be repeated elsewhere.
pub(crate) fn worth_repeating(status: StatusCode, repeat: RetryPolicy) -> bool {
    status.is_server_error() && repeat == RetryPolicy::Idempotent
}
