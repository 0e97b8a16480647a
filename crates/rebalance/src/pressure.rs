//! Measures how near a group is to the limits that its callers accept.

use std::time::Duration;

/// The weight of a new measurement in the moving mean. Passes are measured about five times
/// a second: the mean follows the load within half a second, and one long prompt changes it
/// little.
const NEW_WEIGHT: f64 = 0.3;
/// Skew is given in thousandths.
const THOUSAND: f64 = 1_000.0;

/// The range of a measure from far below its limit to the limit.
struct Limit {
    relaxed: f64,
    saturated: f64,
}

/// The current pass duration, as a fraction of the longest event gap. Some passes take far
/// longer than the mean, and longer passes keep slots occupied, which makes passes longer
/// still.
const PASS: Limit = Limit {
    relaxed: 0.25,
    saturated: 0.5,
};
/// The pass duration right after a demand shift, as a fraction of the longest event gap:
/// streams that run then become late at once if it is exceeded.
const SHIFT: Limit = Limit {
    relaxed: 0.75,
    saturated: 0.95,
};
/// The running and waiting requests for each slot: shorter passes free the slots of a full
/// group sooner.
const UTILISATION: Limit = Limit {
    relaxed: 0.6,
    saturated: 1.0,
};

impl Limit {
    /// Returns how near `value` is to the limit, from 0 to 1.
    fn closeness(&self, value: f64) -> f64 {
        ((value - self.relaxed) / (self.saturated - self.relaxed)).clamp(0.0, 1.0)
    }
}

/// How near a group is to the limits that its callers accept, by the skew of its map.
///
/// Measured passes and the skew under which they were made give the duration of a pass with
/// balanced ranks, and from it the duration at any other skew: only the experts' part of
/// the work grows with the skew.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Pressure {
    max_event_gap: Option<Duration>,
    /// The experts' part of the work.
    expert_share: f64,
    /// The duration of a pass with balanced ranks, in seconds.
    balanced: Option<f64>,
    /// The number of running and waiting requests for each slot.
    utilisation: f64,
    /// The skew that a demand shift usually leaves, in thousandths.
    shift_skew: Option<f64>,
}

impl Pressure {
    /// Creates the pressure of a group that has not made a pass. `expert_share` is the part
    /// of the work that experts do, `max_event_gap` the longest gap between events that
    /// callers accept.
    #[must_use]
    pub const fn new(expert_share: f64, max_event_gap: Option<Duration>) -> Self {
        Self {
            max_event_gap,
            expert_share,
            balanced: None,
            utilisation: 0.0,
            shift_skew: None,
        }
    }

    /// Records the duration of a pass under a map of this skew, in thousandths.
    pub fn measure(&mut self, pass: Duration, skew: u32) {
        let balanced = pass.as_secs_f64() / self.skew_factor(f64::from(skew));
        update_mean(&mut self.balanced, balanced);
    }

    /// Records the skew that a demand shift has left, in thousandths.
    pub fn record_shift(&mut self, skew: u32) {
        update_mean(&mut self.shift_skew, f64::from(skew));
    }

    /// Returns the skew that demand shifts usually leave, 1 for even ranks; `None` before
    /// the first shift.
    #[must_use]
    pub fn shift_skew(&self) -> Option<f64> {
        self.shift_skew.map(|skew| skew / THOUSAND)
    }

    /// Sets the skew that demand shifts usually leave, 1 for even ranks.
    pub(crate) fn set_shift_skew(&mut self, skew: Option<f64>) {
        self.shift_skew = skew.map(|skew| skew * THOUSAND);
    }

    /// Sets the number of running and waiting requests for each slot of the group.
    pub const fn set_utilisation(&mut self, utilisation: f64) {
        self.utilisation = utilisation;
    }

    /// Returns how near the group is to its limits under a map of this skew, in
    /// thousandths: from 0, far from them, to 1, which also applies while no pass was
    /// measured.
    #[must_use]
    pub fn at(&self, skew: u32) -> f64 {
        let max_event_gap = self
            .max_event_gap
            .filter(|max_event_gap| !max_event_gap.is_zero());
        let Some((balanced, max_event_gap)) = self.balanced.zip(max_event_gap) else {
            return 1.0;
        };
        let fraction = |skew| balanced * self.skew_factor(skew) / max_event_gap.as_secs_f64();
        let now = PASS.closeness(fraction(f64::from(skew)));
        let shift = self
            .shift_skew
            .map_or(0.0, |skew| SHIFT.closeness(fraction(skew)));
        now.max(shift).max(UTILISATION.closeness(self.utilisation))
    }

    /// Returns the factor by which a skew lengthens a pass.
    fn skew_factor(&self, skew: f64) -> f64 {
        1.0 - self.expert_share + self.expert_share * (skew / THOUSAND).max(1.0)
    }
}

/// Moves a mean towards a new value, or starts it with that value.
fn update_mean(known: &mut Option<f64>, new: f64) {
    let mean = known.get_or_insert(new);
    *mean += NEW_WEIGHT * (new - *mean);
}
