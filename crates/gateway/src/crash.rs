//! Detects crashes of endpoints during requests.

use std::io::ErrorKind;
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
    let (shared, accused) = (Rc::clone(shared), call.accused().clone());
    let probed = tokio::task::spawn_local(probe_endpoint(shared, accused, broken_run));
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
    let probe = async {
        match suspect {
            Some(run) => probe(shared, call, run).await,
            None => is_gone(running.address).await,
        }
    };
    let latest = now + call.deadline.saturating_duration_since(now) / 2;
    tokio::select! {
        biased;
        has_ended = probe => has_ended,
        () = shared.suspend_detector.wait_until(latest) => {
            let id = call.head.id.as_deref();
            let waited = millis(clock::now().saturating_duration_since(now));
            tracing::info!(id, endpoint, waited_ms = waited, "response taken as complete, its endpoint has not answered the probe");
            false
        }
    }
}

/// Returns whether the host at `address` refuses connections: its process has ended.
async fn is_gone(address: SocketAddr) -> bool {
    let connected = tcp::connect(address, PROBE_TIMEOUT).await;
    connected.is_err_and(|error| error.kind() == ErrorKind::ConnectionRefused)
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

async fn probe_endpoint(shared: Rc<SharedState>, accused: Accused, broken_run: BrokenRun) -> bool {
    let at = clock::now();
    let Err(error) = tcp::connect(broken_run.address, PROBE_TIMEOUT).await else {
        shared.note_broken_run(Unconfirmed {
            run: broken_run,
            accused,
            at,
        });
        return false;
    };
    if error.kind() != ErrorKind::ConnectionRefused {
        let endpoint = broken_run.endpoint;
        tracing::info!(content = %accused.content, endpoint, %error, "endpoint unreachable, crash not confirmed");
        return false;
    }
    metrics::counter!(metric::GATEWAY_CRASHES).increment(1);
    let crash = Crash {
        endpoint: broken_run.endpoint,
        sent: broken_run.sent,
        at,
    };
    shared.note_crash(&accused, &crash, clock::now());
    true
}
