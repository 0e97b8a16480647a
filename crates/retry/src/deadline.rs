//! The remaining time of a request.

use std::time::Duration;

use cactusnotch_base::clock::Instant;
use cactusnotch_derive::number;

/// The remaining time of a request, as sent over a hop.
///
/// This is a duration rather than a time of day, since the clocks of hosts differ.
/// The transit time is not subtracted, so the margin of the hop must cover it.
#[number]
#[serde(transparent)]
pub struct Remaining(Duration);

impl Remaining {
    /// Creates the remaining time as stated by a caller.
    #[must_use]
    pub const fn new(time: Duration) -> Self {
        Self(time)
    }

    /// Returns the remaining time as a duration.
    #[must_use]
    pub const fn get(self) -> Duration {
        self.0
    }
}

/// The time at which a request must be complete, by the clock of this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Deadline(Instant);

impl Deadline {
    /// Creates the deadline of a request received over a hop with the remaining
    /// time `left`, limited to `most`.
    #[must_use]
    pub fn received(left: Remaining, most: Duration, now: Instant) -> Self {
        Self(now + left.0.min(most))
    }

    /// Returns the deadline by the clock of this process.
    #[must_use]
    pub const fn at(self) -> Instant {
        self.0
    }

    /// Returns the remaining time at `now`.
    #[must_use]
    pub fn left(self, now: Instant) -> Duration {
        self.0.saturating_duration_since(now)
    }

    /// Returns the remaining time for the next hop, shortened by `margin` to let its
    /// response arrive in time; `None` if no time remains.
    #[must_use]
    pub fn next_hop(self, margin: Duration, now: Instant) -> Option<Remaining> {
        let left = self.left(now).checked_sub(margin)?;
        (!left.is_zero()).then_some(Remaining(left))
    }
}
