//! Which answers of the store confirm that the cached configuration is the latest one.

use std::time::Duration;

use cactusnotch_base::clock::Instant;
use cactusnotch_position::Era;

/// Time that operators and endpoints have, after the store was restored from an older copy, to
/// write again what was lost. Within this time, an entry also receives newer configurations
/// that other entries have cached.
pub const REWRITE_TIME: Duration = Duration::from_secs(2);

/// The latest configuration that the store has returned in its era.
///
/// A store that was restored from an older copy may lack an accepted configuration. The
/// absence of a newer one confirms nothing until the store has returned the cached one again.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Shown {
    era: Era,
    version: u64,
}

impl Shown {
    /// Records that the store has returned `version` in `era`.
    pub const fn record(&mut self, era: Era, version: u64) {
        if era.0 > self.era.0 {
            *self = Self { era, version };
        } else if era.0 == self.era.0 && version > self.version {
            self.version = version;
        }
    }

    /// Returns whether an answer of `era` to a call sent at `sent_at`, with nothing newer than
    /// the recorded version, confirms that the `known` version was the latest one at that
    /// time. `unsettled_since` is the start of this era of the store, if data may have been
    /// lost with it.
    #[must_use]
    pub fn confirms(
        &self,
        known: u64,
        era: Era,
        sent_at: Instant,
        unsettled_since: Option<Instant>,
    ) -> bool {
        let settled = unsettled_since.is_none_or(|since| sent_at >= since + REWRITE_TIME);
        settled && self.era == era && self.version >= known
    }
}
