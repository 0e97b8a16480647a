//! The limit of a group's running requests.

use cactusnotch_derive::number;

/// Fills are given in thousandths of the slots.
const THOUSAND: f64 = 1_000.0;
/// The least relative change that is sent at once and logged.
const CHANGE_MIN: f64 = 0.05;

/// The limit of a group's running requests: the mean over its ranks of the requests for
/// each slot, in thousandths.
#[number]
pub struct Ceiling(u16);

impl Ceiling {
    /// The ceiling at which all slots are filled.
    pub const FULL: Self = Self(1_000);

    /// Creates a ceiling from a number of requests for each slot; a number below zero counts
    /// as zero, and one above [`Ceiling::FULL`] as that.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the value lies between 0 and 1000"
    )]
    pub fn new(per_slot: f64) -> Self {
        Self((per_slot.clamp(0.0, 1.0) * THOUSAND).round() as u16)
    }

    /// Returns the number of requests for each slot.
    #[must_use]
    pub fn per_slot(self) -> f64 {
        f64::from(self.0) / THOUSAND
    }

    /// Returns the ceiling, or [`Ceiling::FULL`] if it is above that, as one that was
    /// received may be.
    #[must_use]
    pub fn sanitized(self) -> Self {
        self.min(Self::FULL)
    }

    /// Returns a ceiling that another process states as it is to be used: at most
    /// [`Ceiling::FULL`], and none for zero, which no leader states and which would close the
    /// group without an error.
    #[must_use]
    pub fn received(self) -> Option<Self> {
        (self.0 > 0).then(|| self.sanitized())
    }

    /// Returns whether the ceiling differs from `other` by 5% of that or more.
    #[must_use]
    pub fn differs(self, other: Self) -> bool {
        let (new, old) = (self.per_slot(), other.per_slot());
        self != other && (new - old).abs() >= old * CHANGE_MIN
    }

    /// Returns whether the ceiling is lower than `other` by 5% of that or more.
    #[must_use]
    pub fn has_fallen(self, other: Self) -> bool {
        self < other && self.differs(other)
    }
}
