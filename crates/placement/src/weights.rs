//! How skew is weighed against the cost of moving experts.

use std::time::Duration;

use cactusnotch_derive::message;

use crate::budget::Budget;

/// How skew is weighed against the cost of moving experts. The settings tree
/// gives these for each group.
#[message]
#[derive(Copy)]
pub struct Weights {
    /// What a second of step time saved is worth.
    pub skew: f64,
    /// What a second is worth in which a rank loads weights, and so disturbs
    /// the steps and holds the weight store.
    pub cost: f64,
    /// How long a placement is expected to stay useful if popularity is steady.
    pub horizon: Duration,
    /// How long a burst must have lasted before anything is moved for it.
    pub patience: Duration,
    /// How many standard deviations of the estimate a saving must exceed to
    /// count.
    pub caution: f64,
}

impl Weights {
    /// Skew and cost weigh the same.
    pub const BALANCED: Self = Self {
        skew: 3.0,
        cost: 1.0,
        horizon: Duration::from_mins(10),
        patience: Duration::ZERO,
        caution: 1.0,
    };

    /// Skew weighs more, for callers that cannot wait.
    pub const SKEW_FIRST: Self = Self {
        skew: 10.0,
        caution: 0.0,
        ..Self::BALANCED
    };

    /// Cost weighs more, for load that shifts slowly.
    pub const COST_FIRST: Self = Self {
        skew: 2.0,
        patience: Duration::from_secs(12),
        caution: 2.0,
        ..Self::BALANCED
    };
}

impl Weights {
    /// Returns the worth of a new split of traffic that takes the skew from
    /// `before` to `after`, until the next plan makes another.
    pub(crate) fn split(&self, before: f64, after: f64, budget: &Budget) -> f64 {
        let saved = 1.0 - after / before;
        self.skew * saved.max(0.0) * budget.interval.as_secs_f64()
    }
}
