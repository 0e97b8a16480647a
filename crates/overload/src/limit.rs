//! The limit of a group as its leader states it.

use std::time::Duration;

use cactusnotch_base::clock::Instant;

use crate::Ceiling;

/// How long a stated limit is valid, at the ranks that report it and at the entries. A leader
/// states it at least every 0.5 s, so this covers the loss of one statement.
pub const VALID_TIME: Duration = Duration::from_millis(1_200);
/// How long an epoch is new: a leader that has started with its group plans the first map and
/// states a limit well within it, also if its agent has restarted.
pub const NEW_TIME: Duration = Duration::from_secs(5);
/// The time without a report of the latest epoch after which an earlier one counts, as it may
/// if epochs are numbered anew. Ranks report four times a second.
pub const EPOCH_TIME: Duration = Duration::from_secs(5);

/// The limit of a group as the leader of its latest epoch states it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Limit {
    epoch: u64,
    /// When the epoch was first and last reported.
    reported: Option<(Instant, Instant)>,
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
    /// report of an earlier epoch has no effect while the latest is still reported.
    pub fn apply(&mut self, epoch: u64, limit: Option<Ceiling>, now: Instant) -> bool {
        let is_silent = |at| now.saturating_duration_since(at) >= EPOCH_TIME;
        let is_new = match self.reported {
            None => true,
            Some((_, last)) => epoch > self.epoch || (epoch < self.epoch && is_silent(last)),
        };
        if !is_new && epoch < self.epoch {
            return false;
        }
        if is_new {
            *self = Self {
                epoch,
                ..Self::default()
            };
        }
        let first = self.reported.map_or(now, |(first, _)| first);
        self.reported = Some((first, now));
        if let Some(limit) = limit.and_then(Ceiling::received) {
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

    /// Returns whether the group has just formed: its epoch is new, and no limit was stated in
    /// it. Map 0 is in force then.
    #[must_use]
    pub fn is_forming(&self, now: Instant) -> bool {
        let is_recent = |(first, _)| now.saturating_duration_since(first) < NEW_TIME;
        self.stated.is_none() && self.reported.is_some_and(is_recent)
    }
}
