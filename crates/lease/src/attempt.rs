//! Writes whose effect may still be found by reading back.

use cactusnotch_base::Table;
use cactusnotch_base::clock::Instant;
use cactusnotch_base::number::Sequence;

/// How many writes are remembered; an older one is past its lease.
const REMEMBERED: usize = 64;

/// When each of the latest writes was sent.
#[derive(Debug, Default)]
pub(crate) struct Attempts {
    last: Sequence,
    sent: Table<Sequence, Instant>,
}

impl Attempts {
    /// Numbers a write that is about to be sent.
    pub(crate) fn open(&mut self, now: Instant) -> Sequence {
        self.last = self.last.next();
        self.sent.insert(self.last, now);
        let oldest = self.last.0.saturating_sub(REMEMBERED as u64);
        self.sent.retain(|attempt, _| attempt.0 > oldest);
        self.last
    }

    /// Returns when `attempt` was sent, if it is remembered.
    pub(crate) fn sent(&self, attempt: Sequence) -> Option<Instant> {
        self.sent.get(&attempt).copied()
    }
}
