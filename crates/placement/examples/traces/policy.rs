//! The policies that are compared.

use std::time::Duration;

use cactusnotch_base::clock::Instant;
use cactusnotch_placement::{Budget, Map, Options, Plan, Planner, State, Weights, pack};

use crate::trace::{RANKS, SHAPE, SLOTS};

/// The time between two plans of a planner.
pub const INTERVAL: Duration = Duration::from_secs(5);
/// The time between two full packings, in seconds. Loading everything takes
/// three minutes at the rate of the store.
const REPACK: u64 = 300;
/// The group's part of the weight store's rate, in bytes per second.
pub const RATE: u64 = 1_000_000_000;

/// A policy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// Nothing is moved but what a failure makes necessary.
    Never,
    /// Traffic is split anew, and nothing is moved without need.
    Split,
    /// Everything is packed anew from the latest rates each interval.
    Repack,
    /// Every move that makes a layer faster by the latest rates is made.
    Greedy,
    /// The planner with weights that put cost first (Arrieta).
    CostFirst,
    /// The planner with even weights.
    Balanced,
    /// The planner with weights that put skew first (Palmetto).
    SkewFirst,
}

impl Policy {
    /// All policies, in the order of the tables.
    pub const ALL: [Self; 7] = [
        Self::Never,
        Self::Split,
        Self::Repack,
        Self::Greedy,
        Self::CostFirst,
        Self::Balanced,
        Self::SkewFirst,
    ];

    /// Returns the name in the tables.
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

    /// Returns the weights that the policy plans with.
    fn weights(self) -> Weights {
        let free = Weights {
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
            Self::Greedy => free,
            Self::CostFirst => Weights::COST_FIRST,
            Self::Balanced => Weights::BALANCED,
            Self::SkewFirst => Weights::SKEW_FIRST,
        }
    }

    /// Returns the planner of the policy. Greedy knows the latest rates only.
    pub fn planner(self) -> Planner {
        let mut options = Options::new(SHAPE, RANKS, SLOTS);
        if self == Self::Greedy {
            options.margin = 0.0;
            options.popularity.slow = options.popularity.fast;
        }
        Planner::new(options)
    }

    /// Returns what the policy does at `second`: the new map, how many loads
    /// it takes, and whether the group must wait for them.
    pub fn act(
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
            return Some(taken(&plan));
        }
        if self == Self::Repack && second.is_multiple_of(REPACK) && second > 0 {
            return Some(repack(planner, map, states));
        }
        None
    }
}

fn taken(plan: &Plan) -> (Map, Vec<u16>, bool) {
    let loads = plan.moves.iter().map(|order| order.to.0).collect();
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
    let packed = pack::pack(SHAPE, &rates, &speeds, SLOTS).expect("slots suffice");
    let mut loads = Vec::new();
    for (cell, row) in packed.cells() {
        let new = row.iter().filter(|replica| !map.holds(replica.rank, cell));
        loads.extend(new.map(|replica| replica.rank.0));
    }
    (packed, loads, false)
}
