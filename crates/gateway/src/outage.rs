//! How long endpoints that the store lost in an outage stay in use.

use std::time::Duration;

use cactusnotch_base::clock::Instant;

/// Time for which an endpoint missing from the store stays in use after the store's
/// return. Endpoints that still run register again within about two seconds. An entry
/// must have observed which endpoints left within three seconds of its path to the store
/// working again, and may detect the return late by [`DETECTION_DELAY_MAX`].
pub const REREGISTRATION_TIME: Duration = Duration::from_millis(1_600);
/// Longest delay until an entry detects the store's return: a call in progress has to
/// fail, then the longest pause between calls follows.
pub const DETECTION_DELAY_MAX: Duration = Duration::from_millis(1_400);

/// The last outage of the store that this entry observed, by the time at which it ended.
#[derive(Debug, Clone, Copy, Default)]
pub struct Outage {
    returned: Option<Instant>,
}

impl Outage {
    /// Records that the store answers again.
    pub fn end(&mut self, now: Instant) {
        self.returned = self.returned.max(Some(now));
    }

    /// Returns the time since the end of the last outage, `None` if there was none.
    #[must_use]
    pub fn ended_ago(&self, now: Instant) -> Option<Duration> {
        Some(now.saturating_duration_since(self.returned?))
    }

    /// Returns until when an endpoint that is missing at `now` stays in use, `None` if it
    /// is to be dropped at once.
    #[must_use]
    pub fn kept_until(&self, now: Instant) -> Option<Instant> {
        let until = self.returned? + REREGISTRATION_TIME;
        (until > now).then_some(until)
    }
}
