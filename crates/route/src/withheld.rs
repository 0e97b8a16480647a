//! Endpoints that serve, and get no request from this entry for a time.

use cactusnotch_base::clock::Instant;

/// Until when an endpoint that serves gets no request from this entry. The longer of two is
/// the greater one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Withheld {
    /// Until that moment.
    Until(Instant),
    /// Until it is known what ends it.
    Indefinitely,
}

impl Withheld {
    /// Tells whether it still holds.
    #[must_use]
    pub fn is_active(self, now: Instant) -> bool {
        match self {
            Self::Until(until) => now < until,
            Self::Indefinitely => true,
        }
    }

    /// Returns when it ends, if that is known.
    #[must_use]
    pub const fn ends_at(self) -> Option<Instant> {
        match self {
            Self::Until(until) => Some(until),
            Self::Indefinitely => None,
        }
    }
}
