//! What a copied expert has to bring.

use std::time::Duration;

/// What a copied expert has to take off the peak of the ranks' loads.
///
/// A copy is paid for and slows the group while it is made. What it buys
/// depends on how near the group is to its limits: near them skew makes streams
/// late and keeps slots from others; far from them it hardly matters.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Price {
    /// What a copy has to bring where the group is far from its limits, in mean
    /// loads for each second that it takes.
    pub easy: f64,
    /// The same at the limits.
    pub pressed: f64,
    /// The time to copy one expert.
    pub copy: Duration,
}

impl Price {
    /// Returns what a copy has to bring, in mean loads, at a pressure from 0, far
    /// from the limits, to 1.
    #[must_use]
    pub fn least(&self, pressure: f64) -> f64 {
        let ratio = self.pressed / self.easy;
        self.easy * ratio.powf(pressure.clamp(0.0, 1.0)) * self.copy.as_secs_f64()
    }
}
