//! Log lines and metrics of waiting requests.

use std::time::Duration;

use cactusnotch_base::clock::Instant;
use cactusnotch_overload::queue::{Entrant, Place, Rejection};
use cactusnotch_overload::{Cause, Class, Reach};
use cactusnotch_telemetry::metric;

use super::waiter::Waiter;
use crate::journal::millis;
use crate::request::Call;

/// Returns the value of the label `class`.
fn label(class: Class) -> String {
    class.number().to_string()
}

/// Counts a request that begins to wait.
pub(super) fn count_begin(class: Class) {
    metrics::gauge!(metric::GATEWAY_WAITING, "class" => label(class)).increment(1.0);
}

/// Counts a request that no longer waits.
pub(super) fn count_end(class: Class, waited: Duration) {
    metrics::gauge!(metric::GATEWAY_WAITING, "class" => label(class)).decrement(1.0);
    metrics::histogram!(metric::GATEWAY_WAIT, "class" => label(class)).record(waited);
}

fn count_refusal(class: Class, cause: Cause) {
    let cause = cause.to_string();
    metrics::counter!(metric::GATEWAY_OVERLOAD_REFUSALS, "class" => label(class), "cause" => cause)
        .increment(1);
}

/// Logs that a request begins to wait.
pub(super) fn log_wait(call: &Call, entrant: &Entrant, place: &Place, now: Instant) {
    tracing::info!(
        id = call.head.id.as_deref(),
        service = call.resolved.service,
        class = entrant.class.number(),
        kind = %entrant.kind,
        ahead = place.ahead,
        predicted_ms = millis(place.predicted),
        left_ms = millis(entrant.latest_start.saturating_duration_since(now)),
        displaced = place.displaced.is_some(),
        "request waits for capacity"
    );
}

/// Logs that a waiting request starts.
pub(super) fn log_start(call: &Call, entrant: &Entrant, waiter: &Waiter, now: Instant) {
    tracing::info!(
        id = call.head.id.as_deref(),
        service = call.resolved.service,
        class = entrant.class.number(),
        kind = %entrant.kind,
        waited_ms = millis(waiter.waited(now)),
        left_ms = millis(entrant.latest_start.saturating_duration_since(now)),
        "request starts after a wait"
    );
}

/// Logs that a first attempt can no longer be on time and waits on as an overdue request.
///
/// The field `cause` is left to refusals.
pub(super) fn log_overdue(call: &Call, overdue: &Entrant, missed: Cause, now: Instant) {
    tracing::info!(
        id = call.head.id.as_deref(),
        service = call.resolved.service,
        class = overdue.class.number(),
        kind = %overdue.kind,
        %missed,
        left_ms = millis(overdue.latest_start.saturating_duration_since(now)),
        "request can no longer be on time"
    );
}

/// Logs that a request starts by its last try, which may fill more of a group than its class.
pub(super) fn log_last_start(
    call: &Call,
    entrant: &Entrant,
    reach: Reach,
    waiter: Option<&Waiter>,
    now: Instant,
) {
    tracing::info!(
        id = call.head.id.as_deref(),
        service = call.resolved.service,
        class = entrant.class.number(),
        kind = %entrant.kind,
        %reach,
        waited_ms = millis(waiter.map_or(Duration::ZERO, |waiter| waiter.waited(now))),
        left_ms = millis(entrant.latest_start.saturating_duration_since(now)),
        "request starts by its last try"
    );
}

/// Logs and counts that a request was given no place in a queue and is refused.
pub(super) fn record_rejection(
    call: &Call,
    entrant: &Entrant,
    rejection: &Rejection,
    now: Instant,
) {
    count_refusal(entrant.class, rejection.cause);
    tracing::info!(
        id = call.head.id.as_deref(),
        service = call.resolved.service,
        class = entrant.class.number(),
        kind = %entrant.kind,
        cause = %rejection.cause,
        ahead = rejection.ahead,
        predicted_ms = millis(rejection.predicted),
        left_ms = millis(entrant.latest_start.saturating_duration_since(now)),
        "request refused without a wait"
    );
}

/// Logs and counts that a waiting request is refused.
pub(super) fn record_refusal(
    call: &Call,
    entrant: &Entrant,
    waiter: &Waiter,
    cause: Cause,
    now: Instant,
) {
    count_refusal(entrant.class, cause);
    tracing::info!(
        id = call.head.id.as_deref(),
        service = call.resolved.service,
        class = entrant.class.number(),
        kind = %entrant.kind,
        %cause,
        ahead = waiter.ahead(),
        predicted_ms = millis(waiter.predicted()),
        waited_ms = millis(waiter.waited(now)),
        left_ms = millis(entrant.latest_start.saturating_duration_since(now)),
        "request refused after a wait"
    );
}

/// Logs that a request ends its wait neither by a start nor by a refusal of the queue.
pub(super) fn log_left(id: Option<&str>, service: &str, class: Class, waited: Duration) {
    tracing::info!(
        id,
        service,
        class = class.number(),
        waited_ms = millis(waited),
        "request left the queue"
    );
}
