//! The gaps between the events of a stream, as its caller sees them.

use std::time::Duration;

use cactusnotch_base::clock::Instant;
use cactusnotch_derive::record;

/// The longest gap between two events.
#[record]
#[derive(Copy)]
pub struct Gap {
    /// How long it lasted.
    pub length: Duration,
    /// When it began, since the arrival of the request.
    pub begun: Duration,
}

/// The event times of a stream over all endpoints that contribute to it.
#[derive(Debug, Clone, Copy)]
pub struct Gaps {
    arrived: Instant,
    first: Option<Duration>,
    last: Instant,
    longest: Option<Gap>,
}

impl Gaps {
    /// Creates the record of a stream whose request arrived at `arrived`.
    #[must_use]
    pub const fn new(arrived: Instant) -> Self {
        Self {
            arrived,
            first: None,
            last: arrived,
            longest: None,
        }
    }

    /// Records that events were handed to the caller's connection.
    pub fn record_event(&mut self, now: Instant) {
        let length = now.saturating_duration_since(self.last);
        let begun = self.last.saturating_duration_since(self.arrived);
        self.last = now;
        if self.first.is_none() {
            self.first = Some(length);
        } else if self.longest.is_none_or(|longest| longest.length < length) {
            self.longest = Some(Gap { length, begun });
        }
    }

    /// Returns the time from the arrival of the request to the first event.
    #[must_use]
    pub const fn first(&self) -> Option<Duration> {
        self.first
    }

    /// Returns when the last events were handed over, or when the request arrived.
    #[must_use]
    pub const fn last(&self) -> Instant {
        self.last
    }

    /// Returns the longest gap, the earliest of equal ones; `None` if fewer than two events
    /// were recorded.
    #[must_use]
    pub const fn longest(&self) -> Option<Gap> {
        self.longest
    }
}
