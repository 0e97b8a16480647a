//! Back-offs that endpoints have requested from this entry.
//!
//! A back-off applies to the name under which an endpoint is registered, and also to its next
//! incarnation. An endpoint that restarts within the back-off is more likely to still need the
//! time than to have recovered, and the cost is a few seconds of one endpoint.

use std::time::Duration;

use cactusnotch_base::Table;
use cactusnotch_base::clock::Instant;
use cactusnotch_route::Withheld;

/// The maximum back-off; a longer one is assumed to be an error. An endpoint that needs more
/// time can request it again.
pub const BACKOFF_MAX: Duration = Duration::from_mins(10);
/// The time without a response to the first request after a back-off until another request is
/// sent. Streams that are on time begin within half of that.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a back-off is kept after its end if the endpoint receives no request.
const RETENTION: Duration = Duration::from_mins(1);

/// A back-off and the probe after it.
#[derive(Debug, Clone, Copy)]
struct Backoff {
    until: Instant,
    /// When the latest request after the end of the back-off was sent, whose response shows
    /// whether the endpoint has recovered.
    probe_sent_at: Option<Instant>,
}

impl Backoff {
    /// Returns until when requests are withheld.
    fn withheld(&self) -> Instant {
        self.probe_sent_at
            .map_or(self.until, |sent_at| sent_at + PROBE_TIMEOUT)
    }
}

/// The back-offs that endpoints have requested from this entry, by endpoint name.
#[derive(Debug, Default)]
pub struct Backoffs {
    rows: Table<String, Backoff>,
}

impl Backoffs {
    /// Records that an endpoint requests a back-off. Returns the granted duration from now on if
    /// it ends later than the current one; a shorter back-off does not shorten a longer one.
    pub fn request(&mut self, endpoint: &str, backoff: Duration, now: Instant) -> Option<Duration> {
        let backoff = backoff.min(BACKOFF_MAX);
        let until = now + backoff;
        let current = self.rows.get(endpoint);
        if backoff.is_zero() || current.is_some_and(|current| current.until >= until) {
            return None;
        }
        let row = Backoff {
            until,
            probe_sent_at: None,
        };
        self.rows.insert(endpoint.to_owned(), row);
        Some(backoff)
    }

    /// Records a response without a back-off to a request that was sent at `sent`; returns whether
    /// it ends a back-off.
    pub fn record_answer(&mut self, endpoint: &str, sent: Instant) -> bool {
        let is_over = self.rows.get(endpoint).is_some_and(|row| row.until <= sent);
        if is_over {
            self.rows.remove(endpoint);
        }
        is_over
    }

    /// Returns until when this entry withholds requests from an endpoint.
    #[must_use]
    pub fn withheld(&self, endpoint: &str) -> Option<Withheld> {
        self.rows
            .get(endpoint)
            .map(|row| Withheld::Until(row.withheld()))
    }

    /// Records that a request is sent to an endpoint. If it is the first after a back-off, further
    /// requests are withheld until its response or a time-out.
    pub fn record_send(&mut self, endpoint: &str, now: Instant) {
        if let Some(row) = self.rows.get_mut(endpoint) {
            row.probe_sent_at = Some(now);
        }
    }

    /// Returns the number of endpoints with a back-off at `now`.
    #[must_use]
    pub fn active(&self, now: Instant) -> usize {
        self.rows.values().filter(|row| row.until > now).count()
    }

    /// Removes back-offs that ended long ago; returns whether there were any.
    pub fn expire(&mut self, now: Instant) -> bool {
        let before = self.rows.len();
        self.rows
            .retain(|_, row| now.saturating_duration_since(row.withheld()) <= RETENTION);
        self.rows.len() < before
    }
}
