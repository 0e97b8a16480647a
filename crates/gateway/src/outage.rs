//! How long endpoints are used that the store has lost in an outage.

use std::time::Duration;

use cactusnotch_base::clock::Instant;

/// How long after the store's return an endpoint is used that it no longer
/// names: living ones register again within about two seconds. A host has three
/// seconds from when its way to the store is sound until it has to know which
/// endpoints have left, and may notice the return late by [`DETECTION_DELAY_MAX`].
pub const REREGISTRATION_TIME: Duration = Duration::from_millis(1_600);
/// By how much an entry notices the store's return too late: a call that was
/// under way has to fail, and the longest pause follows.
pub const DETECTION_DELAY_MAX: Duration = Duration::from_millis(1_400);

/// When the store came back from an outage, as far as this entry saw one.
#[derive(Debug, Clone, Copy, Default)]
pub struct Outage {
    returned: Option<Instant>,
}

impl Outage {
    /// Notes that the store answers again.
    pub fn end(&mut self, now: Instant) {
        self.returned = self.returned.max(Some(now));
    }

    /// Returns how long ago the store came back, if it was away.
    #[must_use]
    pub fn ended_ago(&self, now: Instant) -> Option<Duration> {
        Some(now.saturating_duration_since(self.returned?))
    }

    /// Returns until when an endpoint is used that is missing at `now`, `None`
    /// if it is gone.
    #[must_use]
    pub fn kept_until(&self, now: Instant) -> Option<Instant> {
        let until = self.returned? + REREGISTRATION_TIME;
        (until > now).then_some(until)
    }
}
