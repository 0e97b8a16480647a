//! The queues of requests that wait at this entry for free capacity, one for each service.
//!
//! The order and the refusals are decided by [`Queue`]. A waiting request sleeps until it is
//! woken; only the head of a queue tries to start.

mod account;
mod seat;
mod turn;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use cactusnotch_base::Table;
use cactusnotch_base::clock::Instant;
use cactusnotch_overload::queue::{Entrant, Place, Rejection};
use cactusnotch_overload::{Queue, Ticket};
use tokio::sync::Notify;

pub(crate) use self::turn::{Unstarted, choose, entrant};
use crate::admission::Forecast;
use crate::knowledge::SharedState;

/// The queue of a service.
#[derive(Debug)]
struct Line {
    queue: Queue,
    /// Wakes each waiting request.
    bells: Table<Ticket, Rc<Notify>>,
    /// The last predicted time from a request's start to its first event.
    first_event: Option<Duration>,
}

impl Line {
    fn new(now: Instant) -> Self {
        Self {
            queue: Queue::new(now),
            bells: Table::new(),
            first_event: None,
        }
    }

    /// Wakes the request that starts next.
    fn wake_head(&self) {
        let bell = self.queue.head().and_then(|head| self.bells.get(head));
        if let Some(bell) = bell {
            bell.notify_one();
        }
    }

    /// Wakes a request that is no longer in the queue, so that it ends.
    fn dismiss(&mut self, ticket: &Ticket) {
        if let Some(bell) = self.bells.remove(ticket) {
            bell.notify_one();
        }
    }
}

/// The queues of this entry.
#[derive(Debug, Default)]
pub(crate) struct Waiting {
    lines: RefCell<Table<String, Line>>,
    /// The number of requests in all queues.
    length: Cell<usize>,
}

impl Waiting {
    /// Runs `step` on the queue of a service, which is created on first use.
    fn with<T>(&self, service: &str, now: Instant, step: impl FnOnce(&mut Line) -> T) -> T {
        let mut lines = self.lines.borrow_mut();
        if let Some(line) = lines.get_mut(service) {
            return step(line);
        }
        step(lines.get_or_insert_with(service.to_owned(), || Line::new(now)))
    }

    /// Gives a request a place in the queue of a service.
    fn push(
        &self,
        service: &str,
        entrant: &Entrant,
        now: Instant,
    ) -> Result<(Place, Rc<Notify>), Rejection> {
        self.with(service, now, |line| {
            for expired in line.queue.expire(now) {
                line.dismiss(&expired);
            }
            let place = line.queue.push(entrant, now)?;
            if let Some(displaced) = &place.displaced {
                line.dismiss(displaced);
            }
            let bell = Rc::new(Notify::new());
            line.bells.insert(place.ticket, Rc::clone(&bell));
            self.length.set(self.length.get() + 1);
            Ok((place, bell))
        })
    }

    /// Removes a request from its queue. If it was the head, the next one is woken: the
    /// removed request may have been woken and not have used the capacity.
    fn remove(&self, service: &str, ticket: &Ticket, now: Instant) {
        self.length.set(self.length.get().saturating_sub(1));
        self.with(service, now, |line| {
            let was_head = line.queue.head() == Some(ticket);
            line.queue.remove(ticket);
            line.bells.remove(ticket);
            if was_head {
                line.wake_head();
            }
        });
    }

    /// Records that a request of this entry was given capacity.
    pub(crate) fn record_start(&self, service: &str, now: Instant) {
        self.with(service, now, |line| line.queue.record_start());
    }

    /// Records that a request of this entry has released its capacity after it ran for `ran`,
    /// `None` if it never reached an endpoint, and wakes the head of the queue.
    pub(crate) fn record_end(&self, service: &str, ran: Option<Duration>, now: Instant) {
        self.with(service, now, |line| {
            line.queue.record_end(ran, now);
            line.wake_head();
        });
    }

    /// Records the prediction for a request that starts.
    fn record_forecast(&self, service: &str, forecast: &Forecast, now: Instant) {
        let first_event = forecast.first.saturating_sub(forecast.slot_wait);
        self.with(service, now, |line| line.first_event = Some(first_event));
    }

    /// Wakes all waiting requests.
    pub(crate) fn wake_all(&self) {
        let lines = self.lines.borrow();
        let bells = lines.values().flat_map(|line| line.bells.values());
        bells.for_each(|bell| bell.notify_one());
    }
}

impl SharedState {
    /// Wakes the head of a service's queue, since there may be free capacity.
    pub(crate) fn wake_waiting(&self, service: &str) {
        if self.waiting.length.get() > 0
            && let Some(line) = self.waiting.lines.borrow().get(service)
        {
            line.wake_head();
        }
    }

    /// Wakes the head of the queue of the service that the endpoint at `address` belongs to.
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
