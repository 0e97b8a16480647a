//! Endpoints that have asked this entry for rest.
//!
//! A rest is asked for by the name under which an endpoint is registered, and outlives its
//! process: one that starts again so soon is likelier to need the time than to have got over
//! what it asked it for, and it costs a few seconds of one endpoint.

use std::time::Duration;

use cactusnotch_base::Table;
use cactusnotch_base::clock::Instant;
use cactusnotch_route::Withheld;

/// The longest rest that is granted: a longer one is a mistake rather than a wish, and an
/// endpoint that means it asks again.
pub const BACKOFF_MAX: Duration = Duration::from_mins(10);
/// How long the first request after a rest is waited for until another one is sent. Streams
/// on time begin within half of that.
const TRIAL_TIME: Duration = Duration::from_secs(1);
/// How long after its rest an endpoint that got no request counts as one that has asked for it.
const MEMORY_TIME: Duration = Duration::from_mins(1);

/// A rest, and what follows it.
#[derive(Debug, Clone, Copy)]
struct Rest {
    until: Instant,
    /// When the first request after it was sent, which shows whether it is over.
    trial: Option<Instant>,
}

impl Rest {
    /// Returns until when the endpoint gets no request.
    fn withheld(&self) -> Instant {
        self.trial.map_or(self.until, |trial| trial + TRIAL_TIME)
    }
}

/// The endpoints that have asked this entry for rest, by their names.
#[derive(Debug, Default)]
pub struct Backoffs {
    rows: Table<String, Rest>,
}

impl Backoffs {
    /// Takes that an endpoint asks for `rest`; returns how long it is left alone from now on if
    /// that is longer than before. A shorter rest takes nothing from a longer one.
    pub fn request(&mut self, endpoint: &str, rest: Duration, now: Instant) -> Option<Duration> {
        let rest = rest.min(BACKOFF_MAX);
        let until = now + rest;
        let known = self.rows.get(endpoint);
        if rest.is_zero() || known.is_some_and(|known| known.until >= until) {
            return None;
        }
        let row = Rest { until, trial: None };
        self.rows.insert(endpoint.to_owned(), row);
        Some(rest)
    }

    /// Takes that an endpoint has answered a request that was sent at `sent` and asks for no
    /// rest; returns whether its rest is over with that.
    pub fn record_answer(&mut self, endpoint: &str, sent: Instant) -> bool {
        let is_over = self.rows.get(endpoint).is_some_and(|row| row.until <= sent);
        if is_over {
            self.rows.remove(endpoint);
        }
        is_over
    }

    /// Returns until when an endpoint gets no request.
    #[must_use]
    pub fn withheld(&self, endpoint: &str) -> Option<Withheld> {
        self.rows
            .get(endpoint)
            .map(|row| Withheld::Until(row.withheld()))
    }

    /// Takes that a request is sent to an endpoint, which is the only one for a while if it is
    /// the first after a rest.
    pub fn record_send(&mut self, endpoint: &str, now: Instant) {
        if let Some(row) = self.rows.get_mut(endpoint) {
            row.trial = Some(now);
        }
    }

    /// Returns how many endpoints rest.
    #[must_use]
    pub fn active(&self, now: Instant) -> usize {
        self.rows.values().filter(|row| row.until > now).count()
    }

    /// Forgets what is past its time; tells whether there was any.
    pub fn expire(&mut self, now: Instant) -> bool {
        let before = self.rows.len();
        self.rows
            .retain(|_, row| now.saturating_duration_since(row.withheld()) <= MEMORY_TIME);
        self.rows.len() < before
    }
}
