//! How much slower a rank is than usual.

use cactusnotch_derive::message;

/// The unit of a slowdown: hundredths.
const HUNDRED: f64 = 100.0;
/// The accepted range of a slowdown. Planning never assumes that a rank is faster than
/// usual, and beyond a factor of fifty all decisions are the same.
const FACTOR_RANGE: std::ops::RangeInclusive<f64> = 1.0..=50.0;

/// The factor from which new work for a rank is sent to other ranks.
const SLOW_FACTOR: f64 = 2.0;
/// The factor from which a rank's streams are moved to other ranks. Processing a prompt
/// again takes some 15 ms of one rank. A rank that is three times slower delays each
/// forward pass by about as much for each two of its streams, and a stream lasts for
/// tens of passes.
const STRAGGLER_FACTOR: f64 = 3.0;

/// How many times longer than usual a rank takes for its work, in hundredths.
#[message]
#[derive(Copy, Eq, PartialOrd, Ord)]
#[serde(transparent)]
pub struct Slowdown(u16);

impl Default for Slowdown {
    fn default() -> Self {
        Self::from_factor(1.0)
    }
}

impl Slowdown {
    /// Creates a slowdown from a factor, which is clamped to the accepted range.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the factor is clamped to a small positive range"
    )]
    pub fn from_factor(factor: f64) -> Self {
        let sound = if factor.is_finite() { factor } else { 1.0 };
        let factor = sound.clamp(*FACTOR_RANGE.start(), *FACTOR_RANGE.end());
        Self((factor * HUNDRED).round() as u16)
    }

    /// Returns whether the rank is so slow that it should get no new work while others
    /// have capacity. Its own part of a forward pass then takes longer than a normal
    /// rank's own part and a tenth of the experts' work together.
    #[must_use]
    pub fn is_slow(self) -> bool {
        self.factor() >= SLOW_FACTOR
    }

    /// Returns whether the rank is so slow that moving its streams to other ranks is
    /// worth the cost: all ranks of the group wait for it in each forward pass.
    #[must_use]
    pub fn is_straggler(self) -> bool {
        self.factor() >= STRAGGLER_FACTOR
    }

    /// Returns how many times longer than usual the rank takes.
    #[must_use]
    pub fn factor(self) -> f64 {
        f64::from(self.0) / HUNDRED
    }
}
