//! A simulated group whose ranks report given loads.

use std::time::Duration;

use cactusnotch_base::clock::{self, Instant};
use cactusnotch_base::number::{Incarnation, Sequence, Step};
use cactusnotch_placement::{
    Budget, Cell, Count, Map, Options, Plan, Planner, Rank, Report, Shape, State, Weights, pack,
};

pub const STEPS: u32 = 200;

pub struct Group {
    pub options: Options,
    pub planner: Planner,
    pub map: Map,
    pub states: Vec<State>,
    pub speeds: Vec<f64>,
    pub budget: Budget,
    pub now: Instant,
    sequence: u64,
}

impl Group {
    pub fn new(options: Options, loads: &[f64]) -> Self {
        let speeds = vec![100_000.0; usize::from(options.ranks)];
        Self {
            planner: Planner::new(options),
            map: pack::map(options.shape, loads, &speeds, options.slots).expect("slots suffice"),
            states: vec![State::Loaded; speeds.len()],
            speeds,
            budget: Budget {
                rate: 1_000_000_000,
                interval: Duration::from_secs(5),
            },
            now: clock::now(),
            sequence: 0,
            options,
        }
    }

    /// Runs for `seconds` under `loads`; every loaded rank reports once a second.
    pub fn run(&mut self, loads: &[f64], seconds: u64) {
        for _ in 0..seconds {
            self.now += Duration::from_secs(1);
            for rank in 0..self.options.ranks {
                if self.states[usize::from(rank)] == State::Loaded {
                    let report = self.report(Rank(rank), loads);
                    self.planner
                        .observe(&report, self.now)
                        .expect("a new report");
                }
            }
            self.sequence += 1;
        }
    }

    pub fn report(&self, rank: Rank, loads: &[f64]) -> Report {
        let mut counts = Vec::new();
        for ((cell, row), load) in self.map.cells().zip(loads) {
            for replica in row.iter().filter(|replica| replica.rank == rank) {
                let tokens = load * f64::from(STEPS) * replica.share.fraction();
                let tokens = tokens.round() as u32;
                counts.push(Count {
                    cell,
                    share: replica.share,
                    tokens,
                });
            }
        }
        let tokens: u32 = counts.iter().map(|count| count.tokens).sum();
        let busy = f64::from(tokens) / self.speeds[rank.index()];
        Report {
            rank,
            incarnation: Incarnation(1),
            sequence: Sequence(self.sequence),
            first: Step(self.sequence * u64::from(STEPS)),
            steps: STEPS,
            busy: Duration::from_secs_f64(busy),
            counts,
        }
    }

    pub fn plan(&mut self, weights: &Weights) -> Option<Plan> {
        self.planner
            .plan(&self.map, &self.states, weights, &self.budget, self.now)
            .expect("the group has slots for all experts")
    }

    /// Runs `rounds` intervals of the budget, applies each plan and returns the
    /// number of moves.
    pub fn run_planner(&mut self, loads: &[f64], weights: &Weights, rounds: u64) -> usize {
        let mut moves = 0;
        for _ in 0..rounds {
            self.run(loads, self.budget.interval.as_secs());
            if let Some(plan) = self.plan(weights) {
                moves += plan.moves.len();
                self.map = plan.map().expect("a whole plan is valid");
            }
        }
        moves
    }

    /// Returns the skew of the map in force under `loads` at the true speeds.
    pub fn skew(&self, loads: &[f64]) -> f64 {
        let (mut slowest, mut ideal) = (0.0, 0.0);
        for layer in 0..self.options.shape.layers {
            let mut times = vec![0.0; self.speeds.len()];
            let range = self.options.shape.layer(layer);
            for expert in 0..self.options.shape.experts {
                let load = loads[range.start + usize::from(expert)];
                for replica in self.map.replicas(Cell { layer, expert }) {
                    let at = replica.rank.index();
                    times[at] += load * replica.share.fraction() / self.speeds[at];
                }
            }
            slowest += times.iter().copied().fold(0.0, f64::max);
            ideal += loads[range].iter().sum::<f64>() / self.speeds.iter().sum::<f64>();
        }
        slowest / ideal
    }
}

/// Returns loads of `each` tokens per step, multiplied by `factor` for one expert
/// per layer.
pub fn loads_with_hot_expert(shape: Shape, each: f64, expert: usize, factor: f64) -> Vec<f64> {
    let mut loads = vec![each; shape.cells()];
    for layer in 0..shape.layers {
        loads[shape.layer(layer).start + expert] *= factor;
    }
    loads
}
