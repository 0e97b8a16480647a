//! The state of a group that its limit depends on.

use crate::model::{MAP_0_SKEW, SHIFT_SKEW};

/// The largest skew that is taken into account: that of a single rank which does all the
/// work of a group of this size.
const SKEW_MAX: f64 = 256.0;

/// The state of a group that its limit depends on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Conditions {
    /// The skew of the map in force, `None` until counts have shown it.
    pub skew: Option<f64>,
    /// The skew that shifts of demand have usually left, `None` before the first.
    pub shift_skew: Option<f64>,
    /// The mean number of requests for each slot.
    pub fill: f64,
}

impl Conditions {
    /// Returns the skew that the limit has to allow for.
    pub(crate) fn worst_skew(&self) -> f64 {
        let known = |skew: &f64| skew.is_finite() && *skew > 0.0;
        let shift = self.shift_skew.filter(known).unwrap_or(SHIFT_SKEW);
        let now = self.skew.filter(known).unwrap_or(MAP_0_SKEW);
        now.max(shift).clamp(1.0, SKEW_MAX)
    }
}
