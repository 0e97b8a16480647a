//! Predicts the duration of a forward pass.

use std::time::Duration;

use crate::Ceiling;

/// The longest pass at which streams are on time, as a fraction of the longest gap between
/// events: some passes take a quarter longer than the mean.
const PASS_RATIO_MAX: f64 = 0.8;
/// The lowest limit, as a fraction of the slots: a group that runs nothing measures nothing.
pub(crate) const FILL_MIN: f64 = 0.25;
/// The least mean number of requests for each rank whose cost is measured: the pass of a
/// nearly idle group depends on single prompts.
const REQUESTS_MIN: f64 = 1.0;

/// The skew that a shift of demand leaves, before any was observed.
pub const SHIFT_SKEW: f64 = 2.5;

/// The duration of a forward pass of a group, by the number of requests and the skew of its
/// expert map.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Model {
    /// The number of requests that a rank runs at once.
    pub slots: u32,
    /// The duration of a step without requests.
    pub step: Duration,
    /// The time that each request adds to a step.
    pub per_request: Duration,
    /// The number of steps in a pass.
    pub stride: u32,
    /// The share of the work that experts do, from 0 to 1.
    pub expert_share: f64,
    /// The longest gap between events that callers accept.
    pub max_event_gap: Duration,
}

impl Model {
    /// Returns the duration of a pass with a mean of `requests` for each rank.
    #[must_use]
    pub fn pass(&self, requests: f64, skew: f64) -> Duration {
        let work = self.per_request.as_secs_f64() * requests * self.skew_factor(skew);
        let seconds = f64::from(self.stride) * (self.step.as_secs_f64() + work);
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }

    /// Returns the overhead of a measured pass beyond what the model states, in seconds for
    /// the square root of the number of requests; `None` if there are too few of them to
    /// tell.
    #[must_use]
    pub fn overhead(&self, pass: Duration, requests: f64, skew: f64) -> Option<f64> {
        let stated = self.pass(requests, skew);
        let excess = pass.as_secs_f64() - stated.as_secs_f64();
        (requests >= REQUESTS_MIN).then(|| excess / requests.sqrt())
    }

    /// Returns the limit at which streams are on time at a skew and an overhead.
    #[must_use]
    pub fn ceiling(&self, skew: f64, overhead: f64) -> Ceiling {
        let stride = f64::from(self.stride.max(1));
        let longest = self.max_event_gap.as_secs_f64() * PASS_RATIO_MAX;
        let room = (longest - stride * self.step.as_secs_f64()).max(0.0);
        let each = stride * self.per_request.as_secs_f64() * self.skew_factor(skew);
        // The root of each * x * x + overhead * x = room, where x * x requests run.
        let discriminant = overhead * overhead + 4.0 * each * room;
        let root = 2.0 * room / (overhead + discriminant.sqrt());
        let requests = if root.is_finite() { root * root } else { f64::MAX };
        let fill = requests / f64::from(self.slots.max(1));
        Ceiling::new(fill.clamp(FILL_MIN, 1.0))
    }

    /// Returns the factor by which a skew lengthens the work of a pass.
    fn skew_factor(&self, skew: f64) -> f64 {
        1.0 - self.expert_share + self.expert_share * skew.max(1.0)
    }
}
