//! The gain that a copied expert must bring.

use std::time::Duration;

/// The reduction of the ranks' peak load that a copied expert must bring.
///
/// A copy costs transfer and slows the group while it is made. Its benefit
/// depends on how near the group is to its limits: near them, skew makes
/// streams late and keeps slots occupied; far from them it hardly matters.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Threshold {
    /// The gain required of a copy while the group is far from its limits, in
    /// mean loads for each second that the copy takes.
    pub relaxed: f64,
    /// The same at the limits.
    pub saturated: f64,
    /// The time to copy one expert.
    pub copy: Duration,
}

impl Threshold {
    /// Returns the gain required of a copy, in mean loads, at a pressure from
    /// 0, far from the limits, to 1.
    #[must_use]
    pub fn min_gain(&self, pressure: f64) -> f64 {
        let ratio = self.saturated / self.relaxed;
        self.relaxed * ratio.powf(pressure.clamp(0.0, 1.0)) * self.copy.as_secs_f64()
    }
}
