//! The send times of writes whose effect may still be found by reading back.

use cactusnotch_base::Table;
use cactusnotch_base::clock::Instant;
use cactusnotch_base::number::Sequence;

/// The number of writes that are remembered; the lease of an older one has
/// expired.
const ATTEMPTS_MAX: usize = 64;

/// The send times of the latest writes.
#[derive(Debug, Default)]
pub(crate) struct Attempts {
    last: Sequence,
    sent: Table<Sequence, Instant>,
}

impl Attempts {
    /// Assigns a number to a write that is about to be sent.
    pub(crate) fn open(&mut self, now: Instant) -> Sequence {
        self.last = self.last.next();
        self.sent.insert(self.last, now);
        let oldest = self.last.0.saturating_sub(ATTEMPTS_MAX as u64);
        self.sent.retain(|attempt, _| attempt.0 > oldest);
        self.last
    }

    /// Returns when `attempt` was sent, if it is remembered.
    pub(crate) fn sent(&self, attempt: Sequence) -> Option<Instant> {
        self.sent.get(&attempt).copied()
    }
}
