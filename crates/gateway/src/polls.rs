//! The send times of recent polls of other entries.

use std::time::Duration;

use cactusnotch_base::clock::Instant;

/// Number of remembered rounds, whose polls may still be answered.
const KEPT: usize = 4;

/// The send times of recent polls of other entries.
///
/// The age of a confirmation that another entry reports is counted back from
/// the time at which the poll was *sent*: the answer can't be older than the
/// poll, regardless of clocks and network delays.
#[derive(Debug, Default)]
pub struct Polls {
    last: u32,
    sent: Vec<(u32, Instant)>,
}

impl Polls {
    /// Begins a poll round and returns its number.
    pub fn begin(&mut self, now: Instant) -> u32 {
        self.last = self.last.wrapping_add(1).max(1);
        self.sent.push((self.last, now));
        if self.sent.len() > KEPT {
            self.sent.remove(0);
        }
        self.last
    }

    /// Returns the time of a confirmation whose age was reported in answer to
    /// `round`, `None` if the round is no longer remembered.
    #[must_use]
    pub fn confirmed_at(&self, round: u32, age: Duration) -> Option<Instant> {
        let (_, sent) = self.sent.iter().find(|(known, _)| *known == round)?;
        sent.checked_sub(age)
    }
}
