//! The limit of a group as its leader states it.

use std::time::Duration;

use cactusnotch_base::clock::Instant;

use crate::Ceiling;

/// How long a stated limit is valid. A leader states it at least every 0.5 s, so this covers
/// the loss of one statement.
pub const VALID_TIME: Duration = Duration::from_millis(1_200);

/// The limit of a group as the leader of its latest epoch states it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Limit {
    epoch: u64,
    /// The last stated limit, with the time at which it was received.
    stated: Option<(Ceiling, Instant)>,
}

impl Limit {
    /// Returns the latest epoch of the group.
    #[must_use]
    pub const fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Applies the epoch and the limit of a load report; returns whether the epoch is new. A
    /// report of an earlier epoch has no effect.
    pub fn apply(&mut self, epoch: u64, limit: Option<Ceiling>, now: Instant) -> bool {
        if epoch < self.epoch {
            return false;
        }
        let is_new = epoch > self.epoch;
        if is_new {
            *self = Self {
                epoch,
                stated: None,
            };
        }
        if let Some(limit) = limit {
            self.stated = Some((limit, now));
        }
        is_new
    }

    /// Returns the stated limit with its age, unless it is no longer valid.
    #[must_use]
    pub fn stated(&self, now: Instant) -> Option<(Ceiling, Duration)> {
        let (limit, at) = self.stated?;
        let age = now.saturating_duration_since(at);
        (age <= VALID_TIME).then_some((limit, age))
    }
}
