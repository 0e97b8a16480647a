//! Starts a request in its turn.

use std::rc::Rc;
use std::time::Duration;

use cactusnotch_base::clock::{self, Instant};
use cactusnotch_base::name;
use cactusnotch_overload::queue::Entrant;
use cactusnotch_overload::{Cause, Class, Kind, Reach};
use cactusnotch_route::choice;

use super::account;
use super::line::{Key, Line};
use super::waiter::Waiter;
use crate::caller_timeout::{LATE_WAIT, MOVED_WAIT};
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

/// Why a request was not started.
#[derive(Debug)]
pub(crate) enum Unstarted {
    /// No endpoint was selected for a reason other than a lack of free capacity.
    Unserved(Unserved),
    /// The request would start too late, or the queue is full.
    Refused,
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

/// Returns how a stream whose endpoint was lost takes part in the queue of its service.
pub(crate) fn moved(call: &Call, class: Class, last_event: Instant) -> Entrant {
    Entrant {
        class,
        kind: Kind::Moved,
        latest_start: (last_event + MOVED_WAIT).min(call.deadline),
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
) -> Result<Started, Unstarted> {
    let turn = Turn {
        shared,
        call,
        tried,
        key: Key::of(call),
    };
    turn.start(*entrant).await
}

/// An endpoint with the request that is counted there.
type Started = (Endpoint, Running);

/// A request that is to be started.
struct Turn<'a> {
    shared: &'a Rc<SharedState>,
    call: &'a Call,
    tried: &'a [name::Endpoint],
    key: Key,
}

impl Turn<'_> {
    /// Starts the request at once if it can, and has it wait otherwise.
    async fn start(&self, mut entrant: Entrant) -> Result<Started, Unstarted> {
        let now = clock::now();
        let mut until = entrant.latest_start;
        if !self.shared.waiting.holds_back(&self.key, entrant.class) {
            match self.choose(&entrant, Reach::Class(entrant.class), now) {
                Ok(started) => return Ok(started),
                Err(Unserved::Busy) => {}
                Err(Unserved::None(error)) if entrant.kind != Kind::First => {
                    until = retry_time(error, &entrant, now)?;
                }
                Err(unserved) => return Err(Unstarted::Unserved(unserved)),
            }
        }
        if self.shared.closing.get() {
            return self.stop(&entrant, None, now);
        }
        loop {
            let rejection = match Waiter::enqueue(self.shared, self.call, &entrant, now) {
                Ok(waiter) => return self.wait(waiter, entrant, until).await,
                Err(rejection) => rejection,
            };
            let Some(overdue) = self.overdue(&entrant, rejection.cause, now) else {
                return self.last_try(&entrant, None, now).inspect_err(|_| {
                    account::record_rejection(self.call, &entrant, &rejection, now);
                });
            };
            (entrant, until) = (overdue, overdue.latest_start);
        }
    }

    /// Waits in the queue until the request starts or is refused. It tries to start at `until`
    /// if it is not woken before.
    async fn wait(
        &self,
        mut waiter: Waiter,
        mut entrant: Entrant,
        mut until: Instant,
    ) -> Result<Started, Unstarted> {
        loop {
            waiter.sleep(until).await;
            until = entrant.latest_start;
            let now = clock::now();
            if self.shared.closing.get() {
                return self.stop(&entrant, Some(&waiter), now);
            }
            if let Some(mut cause) = waiter.refusal(now) {
                if let Some(overdue) = self.overdue(&entrant, cause, now) {
                    entrant = overdue;
                    match waiter.requeue(&entrant, now) {
                        Ok(()) => {
                            // It may be the head, and none that was behind it has tried.
                            until = now;
                            continue;
                        }
                        Err(rejection) => cause = rejection.cause,
                    }
                }
                return self
                    .last_try(&entrant, Some(&waiter), now)
                    .inspect_err(|_| waiter.record_refusal(self.call, &entrant, cause, now));
            }
            if !waiter.is_next() {
                // A request that arrived later has gone ahead.
                self.shared.wake_waiting(&self.key.service);
                continue;
            }
            match self.choose(&entrant, Reach::Class(entrant.class), now) {
                Ok(started) => {
                    waiter.record_start(self.call, &entrant, now);
                    return Ok(started);
                }
                Err(Unserved::Busy) => {}
                Err(Unserved::None(error)) => until = retry_time(error, &entrant, now)?,
                Err(Unserved::Held) => return Err(Unstarted::Unserved(Unserved::Held)),
            }
        }
    }

    /// Returns how a first attempt that can't be on time waits on, if that is the cause for
    /// which it would be refused.
    fn overdue(&self, entrant: &Entrant, cause: Cause, now: Instant) -> Option<Entrant> {
        if entrant.kind != Kind::First || cause == Cause::Full {
            return None;
        }
        let overdue = Entrant {
            kind: Kind::Overdue,
            latest_start: (self.call.arrived + LATE_WAIT).min(self.call.deadline),
            ..*entrant
        };
        account::log_overdue(self.call, &overdue, cause, now);
        Some(overdue)
    }

    /// Starts a request that would otherwise be refused if a group has capacity beyond what its
    /// class may fill.
    fn last_try(
        &self,
        entrant: &Entrant,
        waiter: Option<&Waiter>,
        now: Instant,
    ) -> Result<Started, Unstarted> {
        let reach = match entrant.kind {
            Kind::First => return Err(Unstarted::Refused),
            Kind::Overdue => Reach::Limit,
            Kind::Returned | Kind::Moved => Reach::Slots,
        };
        match self.choose(entrant, reach, now) {
            Ok(started) => {
                match waiter {
                    Some(waiter) => waiter.record_last_start(self.call, entrant, reach, now),
                    None => account::log_last_start(self.call, entrant, reach, None, now),
                }
                Ok(started)
            }
            Err(Unserved::Busy | Unserved::None(_)) => Err(Unstarted::Refused),
            Err(Unserved::Held) => Err(Unstarted::Unserved(Unserved::Held)),
        }
    }

    /// Refuses a request since this entry is stopping. A stream that has begun can't be refused
    /// and gets its last try.
    fn stop(
        &self,
        entrant: &Entrant,
        waiter: Option<&Waiter>,
        now: Instant,
    ) -> Result<Started, Unstarted> {
        if entrant.kind == Kind::Moved {
            return self.last_try(entrant, waiter, now);
        }
        Err(Unstarted::Stopping)
    }

    fn choose(&self, entrant: &Entrant, reach: Reach, now: Instant) -> Result<Started, Unserved> {
        let claim = (entrant.kind, reach);
        let started = exchange::choose_queued(self.shared, self.call, self.tried, claim, now)?;
        let forecast = &started.1.forecast;
        self.shared
            .waiting
            .record_forecast(&self.key, forecast, now);
        Ok(started)
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
