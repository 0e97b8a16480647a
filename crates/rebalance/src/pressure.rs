//! How near a group is to what its callers accept.

use std::time::Duration;

/// The part of a new measurement in the mean. Passes are measured about five
/// times a second, so that the mean follows the load within half a second and
/// one long prompt changes it little.
const NEW_PART: f64 = 0.3;
/// Skew is told in thousandths.
const THOUSAND: f64 = 1_000.0;

/// A measure of the group, with where it is far from its limit and where it is
/// at it.
struct Limit {
    easy: f64,
    pressed: f64,
}

/// The passes of now, in parts of the longest pause. One pass in some takes far
/// longer than the mean, and longer passes keep slots from others, which makes
/// passes longer still.
const PASS: Limit = Limit {
    easy: 0.25,
    pressed: 0.5,
};
/// The passes right after a turn of demand, in parts of the longest pause: streams
/// that run then get late at once if it is exceeded.
const TURN: Limit = Limit {
    easy: 0.75,
    pressed: 0.95,
};
/// The requests that run or wait for each slot: passes that get shorter give the
/// slots of a full group to others sooner.
const FILL: Limit = Limit {
    easy: 0.6,
    pressed: 1.0,
};

impl Limit {
    /// Returns how near `value` is to the limit, from 0 to 1.
    fn nearness(&self, value: f64) -> f64 {
        ((value - self.easy) / (self.pressed - self.easy)).clamp(0.0, 1.0)
    }
}

/// How near a group is to what its callers accept, by the skew of its map.
///
/// From measured passes and the skew under which they were made follows how long
/// a pass with even ranks would take, and from that how long one with any other
/// skew takes: only the experts' part of the work grows with the skew.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Pressure {
    pause: Option<Duration>,
    /// The experts' part of the work.
    experts: f64,
    /// A pass with even ranks, in seconds.
    even: Option<f64>,
    /// The requests that run or wait for each slot.
    fill: f64,
    /// The skew that a turn of demand usually leaves, in thousandths.
    turned: Option<f64>,
}

impl Pressure {
    /// Creates the pressure of a group that has not made a pass. `experts` is
    /// the part of the work that experts do, `pause` the longest that callers
    /// accept between events.
    #[must_use]
    pub const fn new(experts: f64, pause: Option<Duration>) -> Self {
        Self {
            pause,
            experts,
            even: None,
            fill: 0.0,
            turned: None,
        }
    }

    /// Takes a measured pass under a map of this skew, in thousandths.
    pub fn measure(&mut self, pass: Duration, skew: u32) {
        let even = pass.as_secs_f64() / self.stretch(f64::from(skew));
        mean(&mut self.even, even);
    }

    /// Takes the skew that a turn of demand has left, in thousandths.
    pub fn turn(&mut self, skew: u32) {
        mean(&mut self.turned, f64::from(skew));
    }

    /// Takes how many requests run or wait for each slot of the group.
    pub const fn set_fill(&mut self, fill: f64) {
        self.fill = fill;
    }

    /// Returns how near the group is to its limits under a map of this skew, in
    /// thousandths: from 0, far from them, to 1, also while that is not known.
    #[must_use]
    pub fn at(&self, skew: u32) -> f64 {
        let pause = self.pause.filter(|pause| !pause.is_zero());
        let Some((even, pause)) = self.even.zip(pause) else {
            return 1.0;
        };
        let part = |skew| even * self.stretch(skew) / pause.as_secs_f64();
        let now = PASS.nearness(part(f64::from(skew)));
        let turn = self.turned.map_or(0.0, |skew| TURN.nearness(part(skew)));
        now.max(turn).max(FILL.nearness(self.fill))
    }

    /// Returns by how much a skew lengthens a pass.
    fn stretch(&self, skew: f64) -> f64 {
        1.0 - self.experts + self.experts * (skew / THOUSAND).max(1.0)
    }
}

/// Moves a mean towards a new value, or begins with it.
fn mean(known: &mut Option<f64>, new: f64) {
    let mean = known.get_or_insert(new);
    *mean += NEW_PART * (new - *mean);
}
