//! When this entry asked others how they are.

use std::time::Duration;

use cactusnotch_base::clock::Instant;

/// The questions that may still be answered: a few rounds back.
const KEPT: usize = 4;

/// When this entry asked others how they are.
///
/// What another entry states of the age of its proof counts from the moment at
/// which it was *asked*: its answer can't be older than the question, whatever
/// the clocks and the network do.
#[derive(Debug, Default)]
pub struct Polls {
    last: u32,
    asked: Vec<(u32, Instant)>,
}

impl Polls {
    /// Begins a round of questions and returns its number.
    pub fn begin(&mut self, now: Instant) -> u32 {
        self.last = self.last.wrapping_add(1).max(1);
        self.asked.push((self.last, now));
        if self.asked.len() > KEPT {
            self.asked.remove(0);
        }
        self.last
    }

    /// Returns the moment at which a proof holds whose age was stated in answer
    /// to `round`.
    #[must_use]
    pub fn confirmed_at(&self, round: u32, age: Duration) -> Option<Instant> {
        let (_, asked) = self.asked.iter().find(|(known, _)| *known == round)?;
        asked.checked_sub(age)
    }
}
