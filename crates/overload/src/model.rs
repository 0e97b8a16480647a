//! Predicts the duration of a forward pass.

use std::time::Duration;

use crate::Ceiling;

/// The longest pass at which streams are on time, as a fraction of the longest gap between
/// events: some passes take a quarter longer than the mean.
const PASS_RATIO_MAX: f64 = 0.8;
/// The lowest limit, as a fraction of the slots: a group that runs nothing measures nothing.
pub(crate) const FILL_MIN: f64 = 0.25;

/// The skew that a shift of demand leaves, before any was observed.
pub const SHIFT_SKEW: f64 = 2.5;
/// The skew that is assumed under map 0, which assigns experts regardless of demand, until
/// counts show it.
pub const MAP_0_SKEW: f64 = 3.5;

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

    /// Returns the overhead of a measured pass beyond the model, in seconds for the square
    /// root of the number of requests; it is negative if the pass is shorter.
    ///
    /// Most of it doesn't depend on the number of requests, since in nearly every pass some
    /// rank reads a prompt, and some of it does. With a step of 4.55 ms, 1.09 ms for each
    /// request, a stride of 5 and a skew of 1.25, passes took 51 to 54 ms at 2.8 requests
    /// and about 90 ms at 8: the root predicts one from the other.
    #[must_use]
    pub fn overhead(&self, pass: Duration, requests: f64, skew: f64) -> f64 {
        let stated = self.pass(requests, skew);
        let excess = pass.as_secs_f64() - stated.as_secs_f64();
        excess / requests.sqrt()
    }

    /// Returns the overhead that on its own makes passes at the lowest limit as long as
    /// streams on time allow. Beyond it the limit can't fall further.
    pub(crate) fn overhead_max(&self) -> f64 {
        self.room() / (FILL_MIN * self.slots()).sqrt()
    }

    /// Returns the limit at which streams are on time at a skew and an overhead in seconds
    /// for the square root of the number of requests.
    #[must_use]
    pub fn ceiling(&self, skew: f64, overhead: f64) -> Ceiling {
        let room = self.room();
        let each = self.stride() * self.per_request.as_secs_f64() * self.skew_factor(skew);
        // Solves each * x * x + overhead * x = room, where x * x requests run.
        let discriminant = overhead * overhead + 4.0 * each * room;
        let solution = 2.0 * room / (overhead + discriminant.sqrt());
        let requests = if solution.is_finite() {
            solution * solution
        } else {
            f64::MAX
        };
        Ceiling::new((requests / self.slots()).clamp(FILL_MIN, 1.0))
    }

    /// Returns the time in seconds that requests may add to a pass.
    fn room(&self) -> f64 {
        let longest = self.max_event_gap.as_secs_f64() * PASS_RATIO_MAX;
        (longest - self.stride() * self.step.as_secs_f64()).max(0.0)
    }

    fn slots(&self) -> f64 {
        f64::from(self.slots.max(1))
    }

    fn stride(&self) -> f64 {
        f64::from(self.stride.max(1))
    }

    /// Returns the factor by which a skew lengthens the work of a pass.
    fn skew_factor(&self, skew: f64) -> f64 {
        1.0 - self.expert_share + self.expert_share * skew.max(1.0)
    }
}
