//! Endpoints that have started lately and take few requests a second until they are warm.
//!
//! An endpoint says how much longer it is cold, and the operators how many requests a second one
//! takes then from all entries together, counted over each second. It is a [`Limits`] with
//! another source and another window.

use std::time::Duration;

use cactusnotch_base::Table;
use cactusnotch_base::clock::Instant;
use cactusnotch_route::Withheld;

use crate::{Limits, Rate, Tolerance};

/// The longest time for which an endpoint is taken for cold: a longer one is a mistake rather
/// than a start.
pub const WARMUP_MAX: Duration = Duration::from_mins(10);
/// What a cold endpoint bears if the settings don't say: as much as one that names a limit.
pub const TOLERANCE: Tolerance = Tolerance {
    window: Duration::from_secs(1),
    ..Tolerance::LIMITED
};

/// The endpoints that are cold, by their names.
#[derive(Debug)]
pub struct Warmups {
    limits: Limits,
    /// Until when each is.
    until: Table<String, Instant>,
}

impl Warmups {
    /// Creates the table of the entry on `host`.
    #[must_use]
    pub fn new(tolerance: Tolerance, host: &str) -> Self {
        Self {
            limits: Limits::with_tolerance(tolerance, host),
            until: Table::new(),
        }
    }

    /// Takes the hosts of all entries, which share what cold endpoints take; tells whether
    /// these are others than before.
    pub fn set_entries(&mut self, entries: &[&str], now: Instant) -> bool {
        self.limits.set_entries(entries, now)
    }

    /// Takes that an endpoint stays cold for the time `left` and takes `rate` meanwhile; tells
    /// whether it was not known to be cold at this rate.
    pub fn begin(&mut self, endpoint: &str, left: Duration, rate: Rate, now: Instant) -> bool {
        self.until
            .insert(endpoint.to_owned(), now + left.min(WARMUP_MAX));
        self.limits
            .apply_report(endpoint, Some(rate), now, now)
            .is_some()
    }

    /// Takes that an endpoint is cold no longer; tells whether it was.
    pub fn end(&mut self, endpoint: &str, now: Instant) -> bool {
        let was_cold = self.until.remove(endpoint).is_some();
        if was_cold {
            self.limits.apply_report(endpoint, None, now, now);
        }
        was_cold
    }

    /// Ends what is past its time; returns these endpoints.
    pub fn expire(&mut self, now: Instant) -> Vec<String> {
        let due = self.until.iter().filter(|(_, until)| **until <= now);
        let due: Vec<_> = due.map(|(endpoint, _)| endpoint.clone()).collect();
        for endpoint in &due {
            self.end(endpoint, now);
        }
        self.limits.expire(now);
        due
    }

    /// Returns how many requests a second a cold endpoint takes.
    #[must_use]
    pub fn rate(&self, endpoint: &str) -> Option<Rate> {
        self.limits.rate(endpoint)
    }

    /// Tells whether this entry shares what a cold endpoint takes.
    #[must_use]
    pub fn shares(&self, endpoint: &str) -> bool {
        self.limits.shares(endpoint)
    }

    /// Returns until when an endpoint gets no request from this entry.
    #[must_use]
    pub fn withheld(&self, endpoint: &str) -> Option<Withheld> {
        self.limits.withheld(endpoint)
    }

    /// Takes that a request is sent to an endpoint.
    pub fn record_send(&mut self, endpoint: &str, now: Instant) {
        self.limits.record_send(endpoint, now);
    }

    /// Returns how many endpoints are cold.
    #[must_use]
    pub fn len(&self) -> usize {
        self.until.len()
    }

    /// Tells whether none is cold.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.until.is_empty()
    }
}
