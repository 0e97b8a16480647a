//! Log lines and metrics for the outcome of requests.

use cactusnotch_base::clock::{self, Instant};
use cactusnotch_base::name;
use cactusnotch_overload::Class;
use cactusnotch_telemetry::metric;

use crate::delivery::{Outcome, Receipt};
use crate::gaps::Gaps;
use crate::journal::millis;
use crate::knowledge::SharedState;
use crate::refusal::Refusal;
use crate::request::Call;

/// How a request that an endpoint was sought for ended.
#[derive(Debug)]
pub(crate) struct Ended {
    pub(crate) status: u16,
    pub(crate) outcome: String,
    /// When its response was handed over to the caller's connection.
    pub(crate) at: Instant,
    /// How often it was resumed at another endpoint.
    pub(crate) resumed: u32,
    /// The gaps between the events that its caller was handed.
    pub(crate) gaps: Option<Gaps>,
    /// The number of complete events of a stream.
    pub(crate) events: Option<u64>,
    /// The id of the last complete event of a stream.
    pub(crate) last_event: Option<u64>,
}

impl Ended {
    /// Creates the end of a request whose response was handed over just now.
    pub(crate) fn new(status: u16, outcome: String) -> Self {
        Self {
            status,
            outcome,
            at: clock::now(),
            resumed: 0,
            gaps: None,
            events: None,
            last_event: None,
        }
    }
}

/// Logs the outcome of a request that an endpoint was sought for.
pub(crate) fn log_ended(
    shared: &SharedState,
    call: &Call,
    tried: &[name::Endpoint],
    ended: &Ended,
) {
    let now = ended.at;
    let gaps = ended.gaps.as_ref();
    let longest = gaps.and_then(Gaps::longest);
    tracing::info!(
        id = call.head.id.as_deref(),
        route = call.resolved.route.name,
        organisation = call.resolved.organisation.as_ref().map(|o| o.name.as_str()),
        version = call.version,
        patience_ms = call.head.time_budget.map(millis),
        target_ms = millis(call.resolved.route.target_latency),
        target_gap_ms = call.resolved.route.max_event_gap.map(millis),
        returned = call.has_returned,
        class = call.class.map(Class::number),
        key_age_ms = shared.freshness.borrow().age(now).map(millis),
        endpoint = tried.last().map(name::Endpoint::as_str),
        sends = tried.len(),
        resumed = ended.resumed,
        status = ended.status,
        outcome = ended.outcome,
        events = ended.events,
        last_event = ended.last_event,
        first_ms = gaps.and_then(Gaps::first).map(millis),
        max_gap_ms = longest.map(|gap| millis(gap.length)),
        max_gap_at_ms = longest.map(|gap| millis(gap.begun)),
        ms = millis(now.saturating_duration_since(call.arrived)),
        "request ended"
    );
    metrics::counter!(metric::GATEWAY_REQUESTS).increment(1);
    metrics::histogram!(metric::GATEWAY_SECONDS)
        .record(now.saturating_duration_since(call.arrived));
    if let Some(gap) = longest {
        metrics::histogram!(metric::GATEWAY_STREAM_GAP).record(gap.length);
    }
}

/// Waits until a complete response has reached the caller. If the connection ends before the
/// caller has acknowledged the response, that is logged.
pub(crate) async fn follow(call: &Call, receipt: &Receipt) {
    let Outcome::CutOff(Some(cut_off)) = receipt.outcome().await else {
        return;
    };
    tracing::info!(
        id = call.head.id.as_deref(),
        unacknowledged_bytes = cut_off.unacknowledged,
        unsent_bytes = cut_off.figures.unsent,
        since_ack_ms = millis(cut_off.figures.since_acknowledgement),
        unanswered_probes = cut_off.figures.unanswered_probes,
        ms = millis(call.arrived.elapsed()),
        "response cut off at the caller"
    );
    metrics::counter!(metric::GATEWAY_UNDELIVERED).increment(1);
}

/// Logs why a request was refused before an endpoint was selected.
pub(crate) fn log_refused(
    shared: &SharedState,
    id: Option<&str>,
    refusal: Refusal,
    arrived: Instant,
) {
    let now = clock::now();
    let age = shared.freshness.borrow().age(now);
    let version = shared.configuration().map(|c| c.version);
    tracing::info!(
        id,
        version,
        key_age_ms = age.map(millis),
        status = refusal.status().as_u16(),
        outcome = %refusal,
        us = u64::try_from(now.saturating_duration_since(arrived).as_micros()).unwrap_or(u64::MAX),
        "request refused"
    );
    metrics::counter!(metric::GATEWAY_REFUSALS).increment(1);
}
