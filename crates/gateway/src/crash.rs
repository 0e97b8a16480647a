//! Finds out whether an endpoint has ended under a request.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use cactusnotch_base::clock::{self, Instant};
use cactusnotch_telemetry::metric;

use crate::content::Fingerprint;
use crate::knowledge::Knowledge;
use crate::quarantine;
use crate::request::Call;
use crate::tcp;

/// How long an endpoint is asked for a connection. A host without a process refuses it
/// within a round trip; one that is silent tells nothing.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);

/// A run whose connection broke before it had given anything.
#[derive(Debug)]
pub(crate) struct BrokenRun {
    pub(crate) endpoint: String,
    pub(crate) address: SocketAddr,
    pub(crate) sent: Instant,
}

/// Finds out whether the endpoint has ended, as opposed to its connection, and remembers
/// that of the request. Its caller may leave meanwhile.
pub(crate) async fn probe(knowledge: &Rc<Knowledge>, call: &Call, broken_run: BrokenRun) {
    let (knowledge, content) = (Rc::clone(knowledge), call.fingerprint());
    let probed = tokio::task::spawn_local(probe_endpoint(knowledge, content, broken_run));
    if let Err(error) = probed.await {
        tracing::error!(%content, %error, "an endpoint's end was not examined");
    }
}

async fn probe_endpoint(knowledge: Rc<Knowledge>, content: Fingerprint, broken_run: BrokenRun) {
    let at = clock::now();
    let Err(error) = tcp::connect(broken_run.address, PROBE_TIMEOUT).await else {
        return;
    };
    if error.kind() != ErrorKind::ConnectionRefused {
        let endpoint = broken_run.endpoint;
        tracing::info!(%content, endpoint, %error, "whether the endpoint has ended is open");
        return;
    }
    metrics::counter!(metric::GATEWAY_CRASHES).increment(1);
    let crash = quarantine::Crash {
        endpoint: broken_run.endpoint,
        sent: broken_run.sent,
        at,
    };
    knowledge.note_crash(content, &crash, clock::now());
}
