//! Numbers that stand for the instants at which pings were sent.

use std::time::Duration;

use cactusnotch_base::clock::Instant;

/// Bits of a stamp that count milliseconds.
const MILLIS: u32 = 40;

/// Makes and reads the numbers that stand for the instants at which pings
/// were sent, so that nothing is kept for an open ping.
#[derive(Debug)]
pub(crate) struct Stamps {
    start: Instant,
    session: u64,
}

impl Stamps {
    /// Creates the stamps of one life; `session` tells it from earlier ones.
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

    /// Returns when `stamp` was made, or a millisecond earlier; `None` if not
    /// in this life.
    pub(crate) fn read(&self, stamp: u64, now: Instant) -> Option<Instant> {
        let millis = stamp & ((1 << MILLIS) - 1);
        let made = self.start + Duration::from_millis(millis);
        (stamp >> MILLIS == self.session && made <= now).then_some(made)
    }
}
