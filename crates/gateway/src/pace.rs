//! How slow a rank is against its usual speed.

use cactusnotch_derive::message;

/// A pace is told in hundredths.
const HUNDRED: f64 = 100.0;
/// The bounds of a pace that is believed. A rank is never planned for as faster
/// than usual, and beyond fifty times slower nothing is left to decide.
const FACTOR: std::ops::RangeInclusive<f64> = 1.0..=50.0;

/// The factor from which a rank is sent elsewhere what it would get.
const SLOW: f64 = 2.0;
/// The factor from which its streams are moved. Reading a prompt anew takes some
/// 15 ms of one rank; a rank that is three times slower costs each pass about as
/// much for each two of its streams, and a stream lasts for tens of passes.
const STRAGGLER: f64 = 3.0;

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
    /// Takes a factor, within the bounds that are believed.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the factor is clamped to a small positive range"
    )]
    pub fn from_factor(factor: f64) -> Self {
        let sound = if factor.is_finite() { factor } else { 1.0 };
        let factor = sound.clamp(*FACTOR.start(), *FACTOR.end());
        Self((factor * HUNDRED).round() as u16)
    }

    /// Tells whether the rank is so slow that it should get no new work while others
    /// have room: its own part of a pass is then longer than what a usual rank needs
    /// for its own part and for a tenth of the experts' work together.
    #[must_use]
    pub fn is_slow(self) -> bool {
        self.factor() >= SLOW
    }

    /// Tells whether the rank is so slow that its streams are worth moving to others:
    /// all ranks of the group wait in each pass for its own part.
    #[must_use]
    pub fn is_straggler(self) -> bool {
        self.factor() >= STRAGGLER
    }

    /// Returns how many times longer than usual the rank takes.
    #[must_use]
    pub fn factor(self) -> f64 {
        f64::from(self.0) / HUNDRED
    }
}
