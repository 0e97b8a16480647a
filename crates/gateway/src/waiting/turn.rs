//! Starts a request in its turn.

use std::rc::Rc;
use std::time::Duration;

use cactusnotch_base::clock::{self, Instant};
use cactusnotch_base::name;
use cactusnotch_overload::queue::Entrant;
use cactusnotch_overload::{Class, Kind, Reach};
use cactusnotch_route::choice;

use super::line::{Key, Line};
use super::seat::Seat;
use crate::endpoint::Endpoint;
use crate::exchange::{self, Unserved};
use crate::knowledge::SharedState;
use crate::request::Call;
use crate::running::Running;

/// The fraction of a route's target that the first event is assumed to take before any was
/// predicted.
const FIRST_EVENT_FRACTION: u32 = 2;
/// The shortest time after which the head of a queue tries again without being woken.
const RETRY_PAUSE: Duration = Duration::from_millis(20);
/// How long a request that can no longer be on time waits from its arrival. Callers give up
/// after two seconds without an event, and the first one takes some of that time.
const LATE_WAIT: Duration = Duration::from_millis(1_200);

/// Why a request was not started.
#[derive(Debug)]
pub(crate) enum Unstarted {
    /// No endpoint was selected for a reason other than a lack of free capacity.
    Unserved(Unserved),
    /// The request would start too late.
    Refused {
        /// The time until the queue is expected to be empty.
        clear: Duration,
    },
    /// This entry is stopping.
    Stopping,
}

/// Returns how a caller's request takes part in the queue of its service.
pub(crate) fn entrant(shared: &SharedState, call: &Call, class: Class) -> Entrant {
    let (kind, wait) = if call.has_returned {
        (Kind::Returned, LATE_WAIT)
    } else {
        (Kind::First, first_wait(shared, call))
    };
    Entrant {
        class,
        kind,
        latest_start: (call.arrived + wait).min(call.deadline),
    }
}

/// Returns how long a first attempt may wait: what its target leaves after the predicted time
/// to the first event.
fn first_wait(shared: &SharedState, call: &Call) -> Duration {
    let target = call.resolved.route.target_latency;
    let first_event = |line: &mut Line| line.first_event();
    let predicted = shared
        .waiting
        .with(&Key::of(call), call.arrived, first_event);
    let spare = target.saturating_sub(predicted.unwrap_or(target / FIRST_EVENT_FRACTION));
    let longest = shared.options().overload.longest_wait;
    longest.map_or(spare, |longest| spare.min(longest))
}

/// Selects an endpoint for a request and counts the request there, as soon as there is free
/// capacity and no request ahead of it waits.
pub(crate) async fn choose(
    shared: &Rc<SharedState>,
    call: &Call,
    tried: &[name::Endpoint],
    entrant: &Entrant,
) -> Result<(Endpoint, Running), Unstarted> {
    match choose_as(shared, call, tried, entrant).await {
        Err(Unstarted::Refused { .. }) if entrant.kind == Kind::First => {
            let overdue = Entrant {
                kind: Kind::Overdue,
                latest_start: (call.arrived + LATE_WAIT).min(call.deadline),
                ..*entrant
            };
            choose_as(shared, call, tried, &overdue).await
        }
        other => other,
    }
}

async fn choose_as(
    shared: &Rc<SharedState>,
    call: &Call,
    tried: &[name::Endpoint],
    entrant: &Entrant,
) -> Result<(Endpoint, Running), Unstarted> {
    let (key, now) = (Key::of(call), clock::now());
    let mut until = entrant.latest_start;
    if !shared.waiting.holds_back(&key, entrant.class) {
        match exchange::choose(shared, call, tried, now) {
            Ok(chosen) => return Ok(started(shared, &key, chosen, now)),
            Err(Unserved::Busy) => {}
            Err(Unserved::None(error)) if entrant.kind != Kind::First => {
                until = retry_time(error, entrant, now)?;
            }
            Err(unserved) => return Err(Unstarted::Unserved(unserved)),
        }
    }
    if shared.closing.get() {
        return Err(Unstarted::Stopping);
    }
    let Ok(seat) = Seat::take(shared, call, entrant, now) else {
        return last_try(shared, call, tried, entrant, now);
    };
    wait(shared, call, tried, entrant, &seat, until).await
}

/// Waits in the queue until the request starts or is refused. It tries to start at `until` if
/// it is not woken before.
async fn wait(
    shared: &Rc<SharedState>,
    call: &Call,
    tried: &[name::Endpoint],
    entrant: &Entrant,
    seat: &Seat,
    mut until: Instant,
) -> Result<(Endpoint, Running), Unstarted> {
    let key = Key::of(call);
    loop {
        seat.sleep(until).await;
        until = entrant.latest_start;
        let now = clock::now();
        if shared.closing.get() {
            return Err(Unstarted::Stopping);
        }
        if let Some(cause) = seat.refusal(now) {
            let chosen = last_try(shared, call, tried, entrant, now);
            if chosen.is_err() {
                seat.record_refusal(call, entrant, cause, now);
            } else {
                seat.record_start(call, entrant, now);
            }
            return chosen;
        }
        if !seat.is_next() {
            // A request that arrived later has gone ahead.
            shared.wake_waiting(&key.service);
            continue;
        }
        match exchange::choose(shared, call, tried, now) {
            Ok(chosen) => {
                seat.record_start(call, entrant, now);
                return Ok(started(shared, &key, chosen, now));
            }
            Err(Unserved::Busy) => {}
            Err(Unserved::None(error)) => until = retry_time(error, entrant, now)?,
            Err(Unserved::Held) => return Err(Unstarted::Unserved(Unserved::Held)),
        }
    }
}

/// Starts a late request that would otherwise be refused if the group has capacity beyond
/// what its class may fill.
fn last_try(
    shared: &Rc<SharedState>,
    call: &Call,
    tried: &[name::Endpoint],
    entrant: &Entrant,
    now: Instant,
) -> Result<(Endpoint, Running), Unstarted> {
    let key = Key::of(call);
    let reach = match entrant.kind {
        Kind::First => return Err(refused(shared, &key, now)),
        Kind::Overdue => Reach::Limit,
        Kind::Returned | Kind::Moved => Reach::Slots,
    };
    match exchange::choose_within(shared, call, tried, Some(reach), now) {
        Ok(chosen) => Ok(started(shared, &key, chosen, now)),
        Err(_) => Err(refused(shared, &key, now)),
    }
}

/// Returns when a request for which no endpoint is eligible tries again at the latest.
///
/// # Errors
///
/// Returns `error` if no endpoint can become eligible by the request's latest start.
fn retry_time(error: choice::Error, entrant: &Entrant, now: Instant) -> Result<Instant, Unstarted> {
    let time = match error {
        // A load report that states that a group is open again wakes the head.
        choice::Error::Unavailable { unreachable, .. } => {
            (unreachable > 0).then_some(entrant.latest_start)
        }
        choice::Error::Withheld { first, .. } => {
            let first = first.filter(|first| *first < entrant.latest_start);
            first.map(|first| first.max(now + RETRY_PAUSE))
        }
        choice::Error::Unknown | choice::Error::Exhausted { .. } => None,
    };
    time.ok_or(Unstarted::Unserved(Unserved::None(error)))
}

fn started(
    shared: &SharedState,
    key: &Key,
    chosen: (Endpoint, Running),
    now: Instant,
) -> (Endpoint, Running) {
    shared.waiting.record_forecast(key, &chosen.1.forecast, now);
    chosen
}

fn refused(shared: &SharedState, key: &Key, now: Instant) -> Unstarted {
    let time_to_clear = |line: &mut Line| line.queue.time_to_clear(now);
    Unstarted::Refused {
        clear: shared.waiting.with(key, now, time_to_clear),
    }
}
