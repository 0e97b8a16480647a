//! Detects crashes of endpoints during requests.

use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use cactusnotch_base::clock::{self, Instant};
use cactusnotch_tcp as tcp;
use cactusnotch_telemetry::metric;
use http::response::Parts;
use http::{Method, StatusCode, header};

use crate::broken_runs::Unconfirmed;
use crate::journal::millis;
use crate::knowledge::SharedState;
use crate::quarantine::{Accused, Crash};
use crate::request::Call;
use crate::running::Running;

/// The timeout of the connection attempt that probes an endpoint. A host without the
/// process refuses the connection within a round trip; a host that doesn't respond
/// leaves it open.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);

/// How long a connection of a probe is watched after the end of a stream. The kernel closes the
/// connections of a process that ends one after the other, and its listener among them.
const SETTLE_TIME: Duration = Duration::from_millis(100);
/// The pause between two connections of a probe.
const RECONNECT_INTERVAL: Duration = Duration::from_millis(20);

/// What a probe has shown of an endpoint.
enum Probed {
    /// Its process accepts connections.
    Running,
    /// Its host refuses connections: the process has ended.
    Ended,
    /// Its host doesn't answer.
    Unreachable(io::Error),
}

/// A run whose connection failed before, or shortly after, its first piece.
#[derive(Debug)]
pub(crate) struct BrokenRun {
    pub(crate) endpoint: String,
    pub(crate) address: SocketAddr,
    pub(crate) sent: Instant,
}

/// Probes whether the endpoint crashed or only the connection failed, and records a
/// crash for the request; returns whether it crashed. The probe continues if the caller
/// disconnects meanwhile.
pub(crate) async fn probe(shared: &Rc<SharedState>, call: &Call, broken_run: BrokenRun) -> bool {
    probe_for(shared, call, broken_run, Duration::ZERO).await
}

/// Probes like [`probe`], and watches the connection for `settle`.
async fn probe_for(
    shared: &Rc<SharedState>,
    call: &Call,
    broken_run: BrokenRun,
    settle: Duration,
) -> bool {
    let (shared, accused) = (Rc::clone(shared), call.accused().clone());
    let probed = tokio::task::spawn_local(probe_endpoint(shared, accused, broken_run, settle));
    probed.await.unwrap_or_else(|error| {
        tracing::error!(content = %call.fingerprint(), %error, "crash probe failed");
        false
    })
}

/// Returns whether an endpoint has ended with its response. A response with neither a length nor
/// chunks ends with its connection, whether it is complete or its endpoint crashed or left.
///
/// An endpoint that does not answer the probe has not shown that it has ended, so the probe takes
/// at most half of the time that is left and the response still reaches the caller before the
/// deadline. The probe itself continues, for the record of crashes.
pub(crate) async fn has_ended(
    shared: &Rc<SharedState>,
    call: &Call,
    head: &Parts,
    running: &Running,
) -> bool {
    if !is_unframed(call, head) {
        return false;
    }
    let endpoint = running.endpoint().as_str();
    let now = clock::now();
    // The request is not to blame if the endpoint was leaving, or had run it for long.
    let takes_work = shared.fleet.borrow().takes_work(endpoint);
    let suspect = running.broken_run(now).filter(|_| takes_work);
    // A plain response waits for the probe, of a stream only the end does.
    let settle = if call.resolved.route.streaming {
        SETTLE_TIME
    } else {
        Duration::ZERO
    };
    let probe = async {
        match suspect {
            Some(run) => probe_for(shared, call, run, settle).await,
            None => is_gone(call, running, settle).await,
        }
    };
    let latest = now + call.deadline.saturating_duration_since(now) / 2;
    let has_ended = tokio::select! {
        biased;
        has_ended = probe => Some(has_ended),
        () = shared.suspend_detector.wait_until(latest) => None,
    };
    let id = call.head.id.as_deref();
    let waited = millis(clock::now().saturating_duration_since(now));
    if let Some(has_ended) = has_ended {
        tracing::info!(
            id,
            endpoint,
            waited_ms = waited,
            has_ended,
            "response without framing has ended, its endpoint was probed"
        );
        return has_ended;
    }
    tracing::info!(
        id,
        endpoint,
        waited_ms = waited,
        "response taken as complete, its endpoint has not answered the probe"
    );
    false
}

/// Returns whether the process of an endpoint has ended.
async fn is_gone(call: &Call, running: &Running, settle: Duration) -> bool {
    match connect(running.address, settle).await {
        Probed::Ended => true,
        Probed::Running => false,
        Probed::Unreachable(error) => {
            let (id, endpoint) = (call.head.id.as_deref(), running.endpoint().as_str());
            tracing::info!(id, endpoint, %error, "endpoint unreachable, response taken as complete");
            false
        }
    }
}

/// Connects to an endpoint, and again while it closes the connection within `settle`: it may have
/// been accepted by a process that was ending, or be one connection too many.
async fn connect(address: SocketAddr, settle: Duration) -> Probed {
    let settled = clock::now() + settle;
    loop {
        match tcp::connect(address, PROBE_TIMEOUT).await {
            Ok(connection) => {
                let left = settled.saturating_duration_since(clock::now());
                // A running endpoint waits for a request.
                let closed = tokio::time::timeout(left, connection.readable()).await;
                if closed.is_err() {
                    return Probed::Running;
                }
            }
            Err(error) if error.kind() == ErrorKind::ConnectionRefused => return Probed::Ended,
            Err(error) if clock::now() >= settled || !was_closed(&error) => {
                return Probed::Unreachable(error);
            }
            Err(_) => {}
        }
        if clock::now() + RECONNECT_INTERVAL > settled {
            return Probed::Running;
        }
        tokio::time::sleep(RECONNECT_INTERVAL).await;
    }
}

/// Returns whether the peer closed a connection while it was set up.
fn was_closed(error: &io::Error) -> bool {
    !matches!(
        error.kind(),
        ErrorKind::TimedOut | ErrorKind::HostUnreachable | ErrorKind::NetworkUnreachable
    )
}

/// Returns whether a response has a body with neither a length nor chunks, which ends with its
/// connection.
pub(crate) fn is_unframed(call: &Call, head: &Parts) -> bool {
    let has_body = call.method != Method::HEAD
        && !matches!(
            head.status,
            StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
        );
    has_body
        && !head.headers.contains_key(header::CONTENT_LENGTH)
        && !head.headers.contains_key(header::TRANSFER_ENCODING)
}

async fn probe_endpoint(
    shared: Rc<SharedState>,
    accused: Accused,
    broken_run: BrokenRun,
    settle: Duration,
) -> bool {
    let at = clock::now();
    match connect(broken_run.address, settle).await {
        Probed::Running => {
            shared.note_broken_run(Unconfirmed {
                run: broken_run,
                accused,
                at,
            });
            false
        }
        Probed::Unreachable(error) => {
            let endpoint = broken_run.endpoint;
            tracing::info!(content = %accused.content, endpoint, %error, "endpoint unreachable, crash not confirmed");
            false
        }
        Probed::Ended => {
            metrics::counter!(metric::GATEWAY_CRASHES).increment(1);
            let crash = Crash {
                endpoint: broken_run.endpoint,
                sent: broken_run.sent,
                at,
            };
            shared.note_crash(&accused, &crash, clock::now());
            true
        }
    }
}
