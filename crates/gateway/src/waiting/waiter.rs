//! A request that waits in a queue, until it starts or ends.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use cactusnotch_base::clock::{self, Instant};
use cactusnotch_overload::queue::{Entrant, Place, Rejection};
use cactusnotch_overload::{Cause, Reach, Ticket};
use tokio::sync::Notify;

use super::account;
use super::line::{Key, Line};
use crate::knowledge::SharedState;
use crate::request::Call;

/// A request that waits in a queue. Its place is given up when this is dropped, also if the
/// caller disconnects.
pub(super) struct Waiter {
    shared: Rc<SharedState>,
    /// The id of the request, for the log.
    id: Option<String>,
    key: Key,
    place: Place,
    waker: Rc<Notify>,
    since: Instant,
    /// Whether the outcome of the wait was logged.
    is_logged: Cell<bool>,
}

impl Waiter {
    /// Gives a request a place in the queue of its service.
    pub(super) fn enqueue(
        shared: &Rc<SharedState>,
        call: &Call,
        entrant: &Entrant,
        now: Instant,
    ) -> Result<Self, Rejection> {
        let key = Key::of(call);
        let (place, waker) = shared.waiting.push(&key, entrant, now)?;
        account::log_wait(call, entrant, &place, now);
        account::count_begin(entrant.class);
        Ok(Self {
            shared: Rc::clone(shared),
            id: call.head.id.clone(),
            key,
            place,
            waker,
            since: now,
            is_logged: Cell::new(false),
        })
    }

    /// Gives the request another place in the queue, as `entrant`. Its wait goes on.
    pub(super) fn requeue(&mut self, entrant: &Entrant, now: Instant) -> Result<(), Rejection> {
        let waiting = &self.shared.waiting;
        let (place, waker) = waiting.push(&self.key, entrant, now)?;
        let former = std::mem::replace(&mut self.place, place);
        self.waker = waker;
        waiting.remove(&self.key, &former.ticket, now);
        // The queue may have removed the former place before, so that none was woken for it.
        waiting.wake(&self.key.service);
        Ok(())
    }

    /// Waits until the request is woken, at most until `until`.
    pub(super) async fn sleep(&self, until: Instant) {
        tokio::select! {
            biased;
            () = self.waker.notified() => {}
            () = self.shared.suspend_detector.wait_until(until) => {}
        }
    }

    /// Returns why the request may no longer wait, if so.
    pub(super) fn refusal(&self, now: Instant) -> Option<Cause> {
        if now >= self.ticket().latest_start() {
            return Some(Cause::Expired);
        }
        let is_held = |line: &mut Line| line.holds(self.ticket());
        let waits = self.shared.waiting.with(&self.key, now, is_held);
        (!waits).then_some(Cause::Full)
    }

    /// Returns whether the request starts next among those that may go to the same endpoints.
    pub(super) fn is_next(&self) -> bool {
        self.shared.waiting.is_next(&self.key, self.ticket())
    }

    /// Logs that the request starts.
    pub(super) fn record_start(&self, call: &Call, entrant: &Entrant, now: Instant) {
        self.is_logged.set(true);
        account::log_start(call, entrant, self, now);
    }

    /// Logs that the request starts by its last try.
    pub(super) fn record_last_start(
        &self,
        call: &Call,
        entrant: &Entrant,
        reach: Reach,
        now: Instant,
    ) {
        self.is_logged.set(true);
        account::log_last_start(call, entrant, reach, Some(self), now);
    }

    /// Logs and counts that the request is refused.
    pub(super) fn record_refusal(
        &self,
        call: &Call,
        entrant: &Entrant,
        cause: Cause,
        now: Instant,
    ) {
        self.is_logged.set(true);
        account::record_refusal(call, entrant, self, cause, now);
    }

    /// Returns how long the request has waited.
    pub(super) fn waited(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.since)
    }

    /// Returns the number of requests that were ahead on arrival.
    pub(super) const fn ahead(&self) -> usize {
        self.place.ahead
    }

    /// Returns the wait that was predicted on arrival.
    pub(super) const fn predicted(&self) -> Duration {
        self.place.predicted
    }

    const fn ticket(&self) -> &Ticket {
        &self.place.ticket
    }
}

impl Drop for Waiter {
    fn drop(&mut self) {
        let now = clock::now();
        let (class, waited) = (self.ticket().class(), self.waited(now));
        account::count_end(class, waited);
        if !self.is_logged.get() {
            account::log_left(self.id.as_deref(), &self.key.service, class, waited);
        }
        let waiting = &self.shared.waiting;
        waiting.remove(&self.key, &self.place.ticket, now);
    }
}
