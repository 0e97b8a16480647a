//! The time that a request has left.

use std::time::Duration;

use cactusnotch_base::clock::Instant;
use cactusnotch_derive::number;

/// The time that a request has left, as it is sent over a hop.
///
/// It is a length and not a time of day, since clocks of hosts differ. The way
/// itself is not counted; the margin of the hop has to cover it.
#[number]
#[serde(transparent)]
pub struct Remaining(Duration);

impl Remaining {
    /// Creates the time left as a caller states it.
    #[must_use]
    pub const fn new(time: Duration) -> Self {
        Self(time)
    }

    /// Returns the time left.
    #[must_use]
    pub const fn get(self) -> Duration {
        self.0
    }
}

/// When a request has to be complete, by this process's clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Deadline(Instant);

impl Deadline {
    /// Creates the deadline of a request that has come over a hop with `left`,
    /// but no later than `most` from now.
    #[must_use]
    pub fn received(left: Remaining, most: Duration, now: Instant) -> Self {
        Self(now + left.0.min(most))
    }

    /// Returns the deadline as a time of this process's clock.
    #[must_use]
    pub const fn at(self) -> Instant {
        self.0
    }

    /// Returns what is left at `now`.
    #[must_use]
    pub fn left(self, now: Instant) -> Duration {
        self.0.saturating_duration_since(now)
    }

    /// Returns the time left for the next hop, which is shorter by `margin`
    /// so that its answer arrives in time; `None` if nothing remains.
    #[must_use]
    pub fn next_hop(self, margin: Duration, now: Instant) -> Option<Remaining> {
        let left = self.left(now).checked_sub(margin)?;
        (!left.is_zero()).then_some(Remaining(left))
    }
}
