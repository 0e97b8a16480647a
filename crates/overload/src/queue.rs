//! The requests of a service that wait at an entry for free capacity.

use std::time::Duration;

use cactusnotch_base::clock::Instant;
use cactusnotch_derive::record;

use crate::drain::Drain;
use crate::{Cause, Class, Kind, Ticket};

/// The most requests that wait. It bounds the memory that they reserve and the time that a
/// decision takes.
pub const LENGTH_MAX: usize = 256;

/// A request that may wait.
#[record]
#[derive(Copy)]
pub struct Entrant {
    /// Its precedence.
    pub class: Class,
    /// Its kind.
    pub kind: Kind,
    /// The latest time at which it may start.
    pub latest_start: Instant,
}

/// The place that a request was given in a queue.
#[record]
#[derive(Copy)]
pub struct Place {
    /// Identifies the request in the queue.
    pub ticket: Ticket,
    /// The number of requests ahead of it.
    pub ahead: usize,
    /// The predicted time until it starts.
    pub predicted: Duration,
    /// The request that lost its place, since the queue was full.
    pub displaced: Option<Ticket>,
}

/// The reason why a request was given no place.
#[record]
#[derive(Copy)]
pub struct Rejection {
    /// The cause.
    pub cause: Cause,
    /// The number of requests that would have been ahead of it.
    pub ahead: usize,
    /// The predicted time until it would have started.
    pub predicted: Duration,
}

/// The requests of a service that wait at an entry, in the order in which they start, and a
/// record of the entry's requests that have run, from which waits are predicted.
#[derive(Debug)]
pub struct Queue {
    /// Sorted.
    waiting: Vec<Ticket>,
    drain: Drain,
    /// The number of the next ticket.
    next: u64,
}

impl Queue {
    /// Creates an empty queue.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            waiting: Vec::new(),
            drain: Drain::new(now),
            next: 0,
        }
    }

    /// Returns whether a request of this class has to wait because one of the same or a more
    /// urgent class does.
    #[must_use]
    pub fn holds_back(&self, class: Class) -> bool {
        self.head().is_some_and(|head| head.class() <= class)
    }

    /// Gives a request a place, or refuses it. If the queue is full, the last request in the
    /// order is refused.
    ///
    /// # Errors
    ///
    /// Returns a [`Rejection`] if the request is predicted to start after its latest start, or
    /// if the queue is full and the request is the last in the order.
    pub fn push(&mut self, entrant: &Entrant, now: Instant) -> Result<Place, Rejection> {
        let latest_start = entrant.latest_start;
        let ticket = Ticket::new(entrant.class, entrant.kind, latest_start, self.next);
        let ahead = self.waiting.partition_point(|other| *other < ticket);
        let predicted = self.predict(ahead, now);
        let rejection = |cause| Rejection {
            cause,
            ahead,
            predicted,
        };
        let left = latest_start.saturating_duration_since(now);
        if left.is_zero() || predicted > left {
            return Err(rejection(Cause::Hopeless));
        }
        let full = self.waiting.len() >= self.length_max(left, now);
        if full && ahead == self.waiting.len() {
            return Err(rejection(Cause::Full));
        }
        let displaced = if full { self.waiting.pop() } else { None };
        self.waiting.insert(ahead, ticket);
        self.next += 1;
        Ok(Place {
            ticket,
            ahead,
            predicted,
            displaced,
        })
    }

    /// Removes a request that has started or ended; returns whether it was still waiting.
    pub fn remove(&mut self, ticket: &Ticket) -> bool {
        let found = self.waiting.binary_search(ticket);
        if let Ok(at) = found {
            self.waiting.remove(at);
        }
        found.is_ok()
    }

    /// Removes and returns the requests whose latest start has passed.
    pub fn expire(&mut self, now: Instant) -> Vec<Ticket> {
        let is_expired = |ticket: &mut Ticket| ticket.latest_start() <= now;
        self.waiting.extract_if(.., is_expired).collect()
    }

    /// Returns the request that starts next.
    #[must_use]
    pub fn head(&self) -> Option<&Ticket> {
        self.waiting.first()
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no request waits.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Records that a request of this entry has been given capacity.
    pub const fn record_start(&mut self) {
        self.drain.record_start();
    }

    /// Records that a request of this entry has released its capacity after it ran for `ran`,
    /// `None` if it never reached an endpoint.
    pub fn record_end(&mut self, ran: Option<Duration>, now: Instant) {
        self.drain.record_end(ran, now);
    }

    /// Returns the shortest plausible time until `ahead` requests have started.
    fn predict(&self, ahead: usize, now: Instant) -> Duration {
        let rate = self.drain.highest(now);
        rate.map_or(Duration::ZERO, |rate| time(ahead, rate))
    }

    /// Returns how many requests may wait if a further one may wait for `left`: as many as can
    /// start within the longest wait.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a positive number, clamped to the limit"
    )]
    fn length_max(&self, left: Duration, now: Instant) -> usize {
        let Some(rate) = self.drain.highest(now) else {
            return LENGTH_MAX;
        };
        let waits = self.waiting.iter().map(Ticket::latest_start);
        let longest = waits.map(|latest| latest.saturating_duration_since(now));
        let longest = longest.fold(left, Duration::max);
        let started = (rate * longest.as_secs_f64()).ceil() as usize;
        started.clamp(1, LENGTH_MAX)
    }
}

/// Returns the time in which `requests` start at `rate` a second.
fn time(requests: usize, rate: f64) -> Duration {
    let requests = u32::try_from(requests).unwrap_or(u32::MAX);
    Duration::try_from_secs_f64(f64::from(requests) / rate).unwrap_or(Duration::MAX)
}
