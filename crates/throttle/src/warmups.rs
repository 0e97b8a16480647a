//! Warm-up limits of recently started endpoints.
//!
//! An endpoint registers the remaining time of its warm-up. The operators configure how many
//! requests per second it accepts from all entries together during that time, counted over any
//! second. The limits are enforced by [`Limits`] with a window of their own.

use std::time::Duration;

use cactusnotch_base::Table;
use cactusnotch_base::clock::Instant;
use cactusnotch_route::Withheld;

use crate::{Limits, Rate, Tolerance};

/// The maximum remaining warm-up time that is accepted; a longer one is assumed to be an error.
pub const WARMUP_MAX: Duration = Duration::from_mins(10);
/// The default tolerance of endpoints that are warming up. Only the window differs from
/// [`Tolerance::LIMITED`].
pub const TOLERANCE: Tolerance = Tolerance {
    window: Duration::from_secs(1),
    ..Tolerance::LIMITED
};

/// The endpoints that are warming up, by name.
#[derive(Debug)]
pub struct Warmups {
    limits: Limits,
    /// The end of each endpoint's warm-up.
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

    /// Sets the hosts of all entries, among which the warm-up limits are divided; returns
    /// whether they have changed.
    pub fn set_entries(&mut self, entries: &[&str], now: Instant) -> bool {
        self.limits.set_entries(entries, now)
    }

    /// Records that an endpoint is warming up for the time `left` with the limit `rate`; returns
    /// whether it had no such limit before.
    pub fn begin(&mut self, endpoint: &str, left: Duration, rate: Rate, now: Instant) -> bool {
        self.until
            .insert(endpoint.to_owned(), now + left.min(WARMUP_MAX));
        self.limits
            .apply_report(endpoint, Some(rate), now, now)
            .is_some()
    }

    /// Records the end of an endpoint's warm-up; returns whether it was warming up.
    pub fn end(&mut self, endpoint: &str) -> bool {
        // One answer of the store may contain the begin and the end, so that the end isn't later.
        self.limits.remove(endpoint);
        self.until.remove(endpoint).is_some()
    }

    /// Removes the endpoints whose warm-up is over, and returns their names.
    pub fn expire(&mut self, now: Instant) -> Vec<String> {
        let due = self.until.iter().filter(|(_, until)| **until <= now);
        let due: Vec<_> = due.map(|(endpoint, _)| endpoint.clone()).collect();
        for endpoint in &due {
            self.end(endpoint);
        }
        self.limits.expire(now);
        due
    }

    /// Returns the warm-up limit of an endpoint, or `None` if it is not warming up.
    #[must_use]
    pub fn rate(&self, endpoint: &str) -> Option<Rate> {
        self.limits.rate(endpoint)
    }

    /// Returns whether this entry is a holder of an endpoint's warm-up limit.
    #[must_use]
    pub fn is_holder(&self, endpoint: &str) -> bool {
        self.limits.is_holder(endpoint)
    }

    /// Returns until when this entry withholds requests from an endpoint.
    #[must_use]
    pub fn withheld(&self, endpoint: &str) -> Option<Withheld> {
        self.limits.withheld(endpoint)
    }

    /// Records that a request is sent to an endpoint.
    pub fn record_send(&mut self, endpoint: &str, now: Instant) {
        self.limits.record_send(endpoint, now);
    }

    /// Returns the number of endpoints that are warming up.
    #[must_use]
    pub fn len(&self) -> usize {
        self.until.len()
    }

    /// Returns whether no endpoint is warming up.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.until.is_empty()
    }
}
