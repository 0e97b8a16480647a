//! The placement policies that are compared.

use std::time::Duration;

use cactusnotch_base::clock::Instant;
use cactusnotch_placement::{Budget, Map, Options, Plan, Planner, State, Weights, pack};

use crate::trace::{RANKS, SHAPE, SLOTS};

/// The interval between two plans.
pub const INTERVAL: Duration = Duration::from_secs(5);
/// The interval between two full repacks in seconds. Loading all experts takes
/// three minutes at the rate of the weight store.
const REPACK: u64 = 300;
/// The group's share of the weight store's rate, in bytes per second.
pub const RATE: u64 = 1_000_000_000;

/// A placement policy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// Moves experts only to restore lost replicas.
    Never,
    /// Rebalances traffic, and moves experts only to restore lost replicas.
    Split,
    /// Repacks all experts from the latest rates in each interval.
    Repack,
    /// Makes every move that reduces a layer's step time at the latest rates.
    Greedy,
    /// The planner with weights that favour low cost.
    CostFirst,
    /// The planner with balanced weights.
    Balanced,
    /// The planner with weights that favour low skew.
    SkewFirst,
}

impl Policy {
    /// All policies, in the order of the result tables.
    pub const ALL: [Self; 7] = [
        Self::Never,
        Self::Split,
        Self::Repack,
        Self::Greedy,
        Self::CostFirst,
        Self::Balanced,
        Self::SkewFirst,
    ];

    /// Returns the name in the result tables.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Never => "never move",
            Self::Split => "split only",
            Self::Repack => "repack all",
            Self::Greedy => "greedy, no hysteresis",
            Self::CostFirst => "planner, Arrieta",
            Self::Balanced => "planner, balanced",
            Self::SkewFirst => "planner, Palmetto",
        }
    }

    /// Returns the planner weights of the policy.
    fn weights(self) -> Weights {
        let greedy = Weights {
            cost: 0.0,
            caution: 0.0,
            ..Weights::BALANCED
        };
        match self {
            Self::Never | Self::Repack => Weights {
                skew: 0.0,
                ..Weights::BALANCED
            },
            Self::Split => Weights {
                cost: 0.0,
                horizon: Duration::ZERO,
                ..Weights::BALANCED
            },
            Self::Greedy => greedy,
            Self::CostFirst => Weights::COST_FIRST,
            Self::Balanced => Weights::BALANCED,
            Self::SkewFirst => Weights::SKEW_FIRST,
        }
    }

    /// Returns the planner of the policy. The greedy one uses only the latest
    /// rates.
    pub fn planner(self) -> Planner {
        let mut options = Options::new(SHAPE, RANKS, SLOTS);
        if self == Self::Greedy {
            options.margin = 0.0;
            options.popularity.slow = options.popularity.fast;
        }
        Planner::new(options)
    }

    /// Returns the decision of the policy at `second`: the new map, the rank of
    /// each expert load, and whether the group must wait for the loads.
    pub fn decide(
        self,
        planner: &mut Planner,
        map: &Map,
        states: &[State],
        second: u64,
        now: Instant,
    ) -> Option<(Map, Vec<u16>, bool)> {
        if !second.is_multiple_of(INTERVAL.as_secs()) {
            return None;
        }
        let budget = Budget {
            rate: RATE,
            interval: INTERVAL,
        };
        let plan = planner.plan(map, states, &self.weights(), &budget, now);
        if let Some(plan) = plan.expect("the group has slots for all experts") {
            return Some(from_plan(&plan));
        }
        if self == Self::Repack && second.is_multiple_of(REPACK) && second > 0 {
            return Some(repack(planner, map, states));
        }
        None
    }
}

fn from_plan(plan: &Plan) -> (Map, Vec<u16>, bool) {
    let loads = plan.moves.iter().map(|next| next.to.0).collect();
    let map = plan.map().expect("a whole plan is valid");
    (map, loads, plan.required > 0)
}

fn repack(planner: &Planner, map: &Map, states: &[State]) -> (Map, Vec<u16>, bool) {
    let popularity = planner.popularity();
    let rates: Vec<f64> = map
        .cells()
        .map(|(cell, _)| popularity.rate(cell).map_or(1.0, |e| e.fast.max(1e-3)))
        .collect();
    let mut speeds = popularity.speeds();
    for (speed, state) in speeds.iter_mut().zip(states) {
        if *state == State::Gone {
            *speed = 0.0;
        }
    }
    let packed = pack::map(SHAPE, &rates, &speeds, SLOTS).expect("slots suffice");
    let mut loads = Vec::new();
    for (cell, row) in packed.cells() {
        let new = row.iter().filter(|replica| !map.holds(replica.rank, cell));
        loads.extend(new.map(|replica| replica.rank.0));
    }
    (packed, loads, false)
}
