//! One queue of waiting requests.

use std::rc::Rc;
use std::time::Duration;

use cactusnotch_base::Table;
use cactusnotch_base::clock::Instant;
use cactusnotch_derive::identifier;
use cactusnotch_overload::queue::{Entrant, Place, Rejection};
use cactusnotch_overload::{Queue, Ticket};
use tokio::sync::Notify;

use crate::request::Call;

/// The weight of a prediction in the moving average. A single long prompt must not make all
/// waits look too long, since a new prediction is only made when a request starts.
const FORECAST_WEIGHT: f64 = 1.0 / 8.0;

/// Identifies a queue: the requests in it may go to the same endpoints.
#[identifier]
pub(crate) struct Key {
    pub(super) service: String,
    /// The regions whose endpoints may get the requests; `None` for all.
    regions: Option<Vec<String>>,
}

impl Key {
    /// Returns the queue that a request belongs to.
    pub(crate) fn of(call: &Call) -> Self {
        Self {
            service: call.resolved.service.clone(),
            regions: call.resolved.allowed_regions.clone(),
        }
    }

    /// Returns whether the requests of this queue may go to all endpoints that those of `other`
    /// may go to: if there is no free capacity for this queue, there is none for the other.
    pub(super) fn covers(&self, other: &Self) -> bool {
        let includes = |own: &Vec<String>| {
            let others = other.regions.as_ref();
            others.is_some_and(|others| others.iter().all(|region| own.contains(region)))
        };
        self.service == other.service && self.regions.as_ref().is_none_or(includes)
    }
}

/// A queue with what wakes its requests.
#[derive(Debug)]
pub(super) struct Line {
    pub(super) queue: Queue,
    /// Wakes each waiting request.
    wakers: Table<Ticket, Rc<Notify>>,
    /// The moving average of the predicted times from a request's start to its first event.
    first_event: Option<Duration>,
}

impl Line {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            queue: Queue::new(now),
            wakers: Table::new(),
            first_event: None,
        }
    }

    /// Returns the predicted time from a request's start to its first event, if any was
    /// predicted.
    pub(super) const fn first_event(&self) -> Option<Duration> {
        self.first_event
    }

    /// Records the predicted time from a request's start to its first event.
    pub(super) fn record_first_event(&mut self, predicted: Duration) {
        let known = self.first_event.unwrap_or(predicted);
        let weighted = predicted.mul_f64(FORECAST_WEIGHT);
        self.first_event = Some(known.mul_f64(1.0 - FORECAST_WEIGHT) + weighted);
    }

    /// Gives a request a place. Requests that lose theirs are woken, so that they end.
    pub(super) fn push(
        &mut self,
        entrant: &Entrant,
        now: Instant,
    ) -> Result<(Place, Rc<Notify>), Rejection> {
        for expired in self.queue.expire(now) {
            self.dismiss(&expired);
        }
        let place = self.queue.push(entrant, now)?;
        if let Some(displaced) = &place.displaced {
            self.dismiss(displaced);
        }
        let waker = Rc::new(Notify::new());
        self.wakers.insert(place.ticket, Rc::clone(&waker));
        Ok((place, waker))
    }

    fn dismiss(&mut self, ticket: &Ticket) {
        if let Some(waker) = self.wakers.remove(ticket) {
            waker.notify_one();
        }
    }

    /// Removes a request that has started or ended; returns whether it was the head.
    pub(super) fn remove(&mut self, ticket: &Ticket) -> bool {
        let was_head = self.queue.head() == Some(ticket);
        self.queue.remove(ticket);
        self.wakers.remove(ticket);
        was_head
    }

    /// Returns whether a request still waits.
    pub(super) fn holds(&self, ticket: &Ticket) -> bool {
        self.wakers.contains(ticket)
    }

    /// Wakes a request.
    pub(super) fn wake(&self, ticket: &Ticket) {
        if let Some(waker) = self.wakers.get(ticket) {
            waker.notify_one();
        }
    }

    /// Wakes all requests.
    pub(super) fn wake_all(&self) {
        self.wakers.values().for_each(|waker| waker.notify_one());
    }
}
