//! The weights of skew against the cost of moving experts.

use std::time::Duration;

use cactusnotch_derive::message;

use crate::budget::Budget;

/// The weights of skew against the cost of moving experts, configured for each
/// group in the settings tree.
#[message]
#[derive(Copy)]
pub struct Weights {
    /// The value of one second of step time saved.
    pub skew: f64,
    /// The cost of one second in which a rank loads weights, which slows the
    /// steps and occupies the weight store.
    pub cost: f64,
    /// How long a placement is expected to stay useful under steady popularity.
    pub horizon: Duration,
    /// The minimum duration of a burst before experts are moved for it.
    pub patience: Duration,
    /// The number of standard deviations of the estimate that a saving must
    /// exceed to count.
    pub caution: f64,
}

impl Weights {
    /// Balances skew and cost.
    pub const BALANCED: Self = Self {
        skew: 3.0,
        cost: 1.0,
        horizon: Duration::from_mins(10),
        patience: Duration::ZERO,
        caution: 1.0,
    };

    /// Favours low skew, for latency-sensitive callers.
    pub const SKEW_FIRST: Self = Self {
        skew: 10.0,
        caution: 0.0,
        ..Self::BALANCED
    };

    /// Favours low cost, for load that shifts slowly.
    pub const COST_FIRST: Self = Self {
        skew: 2.0,
        patience: Duration::from_secs(12),
        caution: 2.0,
        ..Self::BALANCED
    };
}

impl Weights {
    /// Returns the value, until the next plan, of a new traffic split that
    /// changes the skew from `before` to `after`.
    pub(crate) fn split(&self, before: f64, after: f64, budget: &Budget) -> f64 {
        let saved = 1.0 - after / before;
        self.skew * saved.max(0.0) * budget.interval.as_secs_f64()
    }
}
