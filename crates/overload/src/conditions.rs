//! The state of a group that its limit depends on.

/// The largest skew that is taken into account: that of a single rank which does all the
/// work of a group of this size.
const SKEW_MAX: f64 = 256.0;

/// The state of a group that its limit depends on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Conditions {
    /// The skew of the map in force.
    pub skew: f64,
    /// The skew that shifts of demand have usually left, `None` before the first.
    pub shift_skew: Option<f64>,
    /// The mean number of requests for each slot.
    pub fill: f64,
}

impl Conditions {
    /// Returns the skew that the limit has to allow for, if demand shifts that were not
    /// observed are assumed to leave `initial`.
    pub(crate) fn worst_skew(&self, initial: f64) -> f64 {
        let known = |skew: &f64| skew.is_finite() && *skew > 0.0;
        let shift = self.shift_skew.filter(known).unwrap_or(initial);
        let now = Some(self.skew).filter(known).unwrap_or(1.0);
        now.max(shift).clamp(1.0, SKEW_MAX)
    }
}
