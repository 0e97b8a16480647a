//! Numbers that encode the times at which pings were sent.

use std::time::Duration;

use cactusnotch_base::clock::Instant;

/// The number of bits of a stamp that count milliseconds.
const MILLIS: u32 = 40;

/// Encodes and decodes the times at which pings were sent, which avoids any state
/// for an open ping.
#[derive(Debug)]
pub(crate) struct Stamps {
    start: Instant,
    session: u64,
}

impl Stamps {
    /// Creates the stamps of one incarnation; `session` distinguishes it from
    /// earlier ones.
    pub(crate) const fn new(start: Instant, session: u64) -> Self {
        Self {
            start,
            session: session >> MILLIS,
        }
    }

    pub(crate) fn make(&self, now: Instant) -> u64 {
        let millis = now.saturating_duration_since(self.start).as_millis();
        let millis = u64::try_from(millis).unwrap_or(u64::MAX) & ((1 << MILLIS) - 1);
        (self.session << MILLIS) | millis
    }

    /// Returns when `stamp` was made, or up to a millisecond earlier; `None` if
    /// it was not made in this incarnation.
    pub(crate) fn read(&self, stamp: u64, now: Instant) -> Option<Instant> {
        let millis = stamp & ((1 << MILLIS) - 1);
        let made = self.start + Duration::from_millis(millis);
        (stamp >> MILLIS == self.session && made <= now).then_some(made)
    }
}
