//! Temporary withholding of requests from a serving endpoint.

use cactusnotch_base::clock::Instant;

/// Until when this entry withholds requests from a serving endpoint. The longer of two values
/// compares as greater.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Withheld {
    /// Until the given time.
    Until(Instant),
    /// For an unknown time.
    Indefinitely,
}

impl Withheld {
    /// Returns whether requests are still withheld at `now`.
    #[must_use]
    pub fn is_active(self, now: Instant) -> bool {
        match self {
            Self::Until(until) => now < until,
            Self::Indefinitely => true,
        }
    }

    /// Returns when withholding ends, or `None` if that is unknown.
    #[must_use]
    pub const fn ends_at(self) -> Option<Instant> {
        match self {
            Self::Until(until) => Some(until),
            Self::Indefinitely => None,
        }
    }
}
