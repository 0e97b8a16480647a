//! Finds out whether an endpoint has ended under a request.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use cactusnotch_base::clock::{self, Instant};
use cactusnotch_telemetry::metric;

use crate::content::Fingerprint;
use crate::knowledge::SharedState;
use crate::quarantine;
use crate::request::Call;
use crate::tcp;

/// How long an endpoint is asked for a connection. A host without a process refuses it
/// within a round trip; one that is silent tells nothing.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);

/// A run whose connection broke before it had given anything.
#[derive(Debug)]
pub(crate) struct Cut {
    pub(crate) endpoint: String,
    pub(crate) address: SocketAddr,
    pub(crate) sent: Instant,
}

/// Finds out whether the endpoint has ended, as opposed to its connection, and remembers
/// that of the request. Its caller may leave meanwhile.
pub(crate) async fn examine(shared: &Rc<SharedState>, call: &Call, cut: Cut) {
    let (shared, content) = (Rc::clone(shared), call.fingerprint());
    let examined = tokio::task::spawn_local(examine_one(shared, content, cut));
    if let Err(error) = examined.await {
        tracing::error!(%content, %error, "an endpoint's end was not examined");
    }
}

async fn examine_one(shared: Rc<SharedState>, content: Fingerprint, cut: Cut) {
    let at = clock::now();
    let Err(error) = tcp::connect(cut.address, PROBE_TIMEOUT).await else {
        return;
    };
    if error.kind() != ErrorKind::ConnectionRefused {
        let endpoint = cut.endpoint;
        tracing::info!(%content, endpoint, %error, "whether the endpoint has ended is open");
        return;
    }
    metrics::counter!(metric::GATEWAY_CRASHES).increment(1);
    let crash = quarantine::Crash {
        endpoint: cut.endpoint,
        sent: cut.sent,
        at,
    };
    shared.note_crash(content, &crash, clock::now());
}
