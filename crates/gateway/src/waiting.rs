//! The queues of requests that wait at this entry for free capacity.
//!
//! The order and the refusals are decided by [`Queue`](cactusnotch_overload::Queue). There is
//! one for each service and set of allowed regions, since a request that may only go to some
//! endpoints must not hold up those that may go to others. A waiting request sleeps until it is
//! woken; only the head of a queue tries to start.

mod account;
mod line;
mod turn;
mod waiter;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use cactusnotch_base::Table;
use cactusnotch_base::clock::Instant;
use cactusnotch_overload::queue::{Entrant, Place, Rejection};
use cactusnotch_overload::{Class, Ticket};
use tokio::sync::Notify;

pub(crate) use self::line::Key;
use self::line::Line;
pub(crate) use self::turn::{Unstarted, choose, entrant, moved};
use crate::admission::Forecast;
use crate::knowledge::SharedState;

/// The queues of this entry.
#[derive(Debug, Default)]
pub(crate) struct Waiting {
    lines: RefCell<Table<Key, Line>>,
    /// The number of requests in all queues.
    length: Cell<usize>,
}

impl Waiting {
    /// Runs `step` on a queue, which is created on first use.
    fn with<T>(&self, key: &Key, now: Instant, step: impl FnOnce(&mut Line) -> T) -> T {
        let mut lines = self.lines.borrow_mut();
        if let Some(line) = lines.get_mut(key) {
            return step(line);
        }
        step(lines.get_or_insert_with(key.clone(), || Line::new(now)))
    }

    /// Returns whether a request of this class has to wait because one of the same or a more
    /// urgent class does that may go to the same endpoints.
    fn holds_back(&self, key: &Key, class: Class) -> bool {
        let lines = self.lines.borrow();
        let mut covering = lines.iter().filter(|(other, _)| other.covers(key));
        covering.any(|(_, line)| line.queue.holds_back(class))
    }

    /// Returns whether a waiting request starts next among those that may go to the same
    /// endpoints.
    fn is_next(&self, key: &Key, ticket: &Ticket) -> bool {
        let lines = self.lines.borrow();
        let mut covering = lines.iter().filter(|(other, _)| other.covers(key));
        covering.all(|(_, line)| line.queue.head().is_none_or(|head| ticket <= head))
    }

    /// Gives a request a place in a queue.
    fn push(
        &self,
        key: &Key,
        entrant: &Entrant,
        now: Instant,
    ) -> Result<(Place, Rc<Notify>), Rejection> {
        let pushed = self.with(key, now, |line| line.push(entrant, now))?;
        self.length.set(self.length.get() + 1);
        Ok(pushed)
    }

    /// Removes a request from its queue. If it was the head, the next one is woken: the
    /// removed request may have been woken and not have used the capacity.
    fn remove(&self, key: &Key, ticket: &Ticket, now: Instant) {
        self.length.set(self.length.get().saturating_sub(1));
        if self.with(key, now, |line| line.remove(ticket)) {
            self.wake(&key.service);
        }
    }

    /// Records that a request of this entry was given capacity.
    pub(crate) fn record_start(&self, key: &Key, now: Instant) {
        self.with(key, now, |line| line.queue.record_start());
    }

    /// Records that a request of this entry has released its capacity after it ran for `ran`,
    /// `None` if it never reached an endpoint, and wakes the request that starts next.
    pub(crate) fn record_end(&self, key: &Key, ran: Option<Duration>, now: Instant) {
        self.with(key, now, |line| line.queue.record_end(ran, now));
        self.wake(&key.service);
    }

    /// Records the prediction for a request that starts.
    fn record_forecast(&self, key: &Key, forecast: &Forecast, now: Instant) {
        let first_event = forecast.first.saturating_sub(forecast.slot_wait);
        self.with(key, now, |line| line.record_first_event(first_event));
    }

    /// Wakes the requests of a service that start next.
    fn wake(&self, service: &str) {
        if self.length.get() == 0 {
            return;
        }
        let lines = self.lines.borrow();
        let own = lines.iter().filter(|(key, _)| key.service == service);
        for (key, line) in own {
            let head = line.queue.head();
            if let Some(head) = head.filter(|head| self.is_next(key, head)) {
                line.wake(head);
            }
        }
    }

    /// Wakes all waiting requests.
    pub(crate) fn wake_all(&self) {
        self.lines.borrow().values().for_each(Line::wake_all);
    }
}

impl SharedState {
    /// Wakes the requests of a service that start next, since there may be free capacity.
    pub(crate) fn wake_waiting(&self, service: &str) {
        self.waiting.wake(service);
    }

    /// Wakes the requests that start next of the service that the endpoint at `address`
    /// belongs to.
    pub(crate) fn wake_waiting_at(&self, address: SocketAddr) {
        if self.waiting.length.get() == 0 {
            return;
        }
        let fleet = self.fleet.borrow();
        if let Some(endpoint) = fleet.iter().find(|endpoint| endpoint.address == address) {
            self.wake_waiting(&endpoint.service);
        }
    }
}
