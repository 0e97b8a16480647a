//! Which answers of the store prove that the known configuration is the newest one.

use std::time::Duration;

use cactusnotch_base::clock::Instant;
use cactusnotch_position::Era;

/// The time that operators and endpoints are given, once the store came back from an older
/// copy, to write again what it has lost. An entry hears of newer configurations that others
/// know within it, too.
pub const REWRITE_TIME: Duration = Duration::from_secs(2);

/// The newest configuration that the store has shown in its era.
///
/// A store that came back from an older copy may lack a configuration that was accepted: that
/// nothing newer is there proves nothing until it has shown what is known again.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Shown {
    era: Era,
    version: u64,
}

impl Shown {
    /// Takes that the store has shown `version` in `era`.
    pub const fn record(&mut self, era: Era, version: u64) {
        if era.0 > self.era.0 {
            *self = Self { era, version };
        } else if era.0 == self.era.0 && version > self.version {
            self.version = version;
        }
    }

    /// Tells whether an answer of `era` to what was asked at `asked`, with nothing newer than
    /// what was shown, proves that the `known` version was the newest one then. `young_since`
    /// tells since when the store has been in this era, if it may have lost something with it.
    #[must_use]
    pub fn confirms(
        &self,
        known: u64,
        era: Era,
        asked: Instant,
        young_since: Option<Instant>,
    ) -> bool {
        let settled = young_since.is_none_or(|since| asked >= since + REWRITE_TIME);
        settled && self.era == era && self.version >= known
    }
}
