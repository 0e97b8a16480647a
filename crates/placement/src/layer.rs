//! The working copy of one layer of a map.

use cactusnotch_popularity::{Rank, Share};

use crate::fill::{self, Assignment};
use crate::replica::Replica;

/// The maximum number of rounds in which traffic is rebalanced.
const MAX_ROUNDS: usize = 24;
/// The maximum number of rounds for a candidate move.
const MAX_TRIAL_ROUNDS: usize = 3;
/// The change, relative to the slowest rank's time, below which rebalancing
/// stops.
const TOLERANCE: f64 = 5e-4;

/// The working copy of one layer: the replicas on usable ranks, the traffic of
/// each, and the busy time of each rank per step.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Layer {
    pub(crate) loads: Vec<f64>,
    pub(crate) rows: Vec<Vec<Assignment>>,
    pub(crate) times: Vec<f64>,
    pub(crate) held: Vec<Vec<u16>>,
}

impl Layer {
    /// Creates the copy from the rows of a map, omitting replicas on ranks that
    /// are not `usable`. An expert may end up without a replica.
    pub(crate) fn new<'a>(
        rows: impl Iterator<Item = &'a [Replica]>,
        loads: Vec<f64>,
        speeds: &[f64],
        usable: impl Fn(Rank) -> bool,
    ) -> Self {
        let mut layer = Self {
            rows: Vec::with_capacity(loads.len()),
            loads,
            times: vec![0.0; speeds.len()],
            held: vec![Vec::new(); speeds.len()],
        };
        for (expert, row) in rows.enumerate() {
            let kept = row.iter().filter(|r| usable(r.rank));
            layer.rows.push(assignments(kept, layer.loads[expert]));
        }
        layer.index_replicas();
        layer.update_times(speeds);
        layer
    }

    fn index_replicas(&mut self) {
        for (expert, row) in (0..).zip(&self.rows) {
            for assignment in row {
                self.held[assignment.index()].push(expert);
            }
        }
    }

    fn update_times(&mut self, speeds: &[f64]) {
        self.times.fill(0.0);
        for assignment in self.rows.iter().flatten() {
            self.times[assignment.index()] += assignment.tokens / speeds[assignment.index()];
        }
    }

    /// Returns the same placement under other loads, with traffic rebalanced.
    pub(crate) fn with_loads(&self, loads: &[f64], speeds: &[f64]) -> Self {
        let mut other = self.clone();
        other.loads.clear();
        other.loads.extend_from_slice(loads);
        for (row, (old, new)) in other.rows.iter_mut().zip(self.loads.iter().zip(loads)) {
            let factor = if *old > 0.0 { new / old } else { 0.0 };
            for assignment in row {
                assignment.tokens *= factor;
            }
        }
        other.update_times(speeds);
        other.balance(speeds);
        other
    }

    /// Splits the traffic of every expert to minimize the slowest rank's time
    /// under this placement, within `TOLERANCE`.
    pub(crate) fn balance(&mut self, speeds: &[f64]) {
        self.balance_within(speeds, MAX_ROUNDS);
    }

    /// Splits the traffic after a small change, with the precision needed to
    /// compare candidate moves.
    pub(crate) fn balance_roughly(&mut self, speeds: &[f64]) {
        self.balance_within(speeds, MAX_TRIAL_ROUNDS);
    }

    fn balance_within(&mut self, speeds: &[f64], max_rounds: usize) {
        let mut order = Vec::new();
        for _ in 0..max_rounds {
            let mut change = 0.0_f64;
            for (row, &load) in self.rows.iter_mut().zip(&self.loads) {
                if !row.is_empty() {
                    let moved = fill::split(row, load, speeds, &mut self.times, &mut order);
                    change = change.max(moved);
                }
            }
            if change <= TOLERANCE * self.slowest() {
                break;
            }
        }
    }

    /// Returns the busy seconds per step of the slowest rank.
    pub(crate) fn slowest(&self) -> f64 {
        self.times.iter().copied().fold(0.0, f64::max)
    }

    /// Adds a replica of `expert` on `rank`, without traffic yet.
    pub(crate) fn add(&mut self, expert: u16, rank: u16) {
        let row = &mut self.rows[usize::from(expert)];
        if let Err(at) = row.binary_search_by_key(&rank, |assignment| assignment.rank) {
            let tokens = 0.0;
            row.insert(at, Assignment { rank, tokens });
            self.held[usize::from(rank)].push(expert);
        }
    }

    /// Removes the replica of `expert` on `rank`. Its traffic is assigned to the
    /// other replicas by the next rebalancing.
    pub(crate) fn remove(&mut self, expert: u16, rank: u16, speeds: &[f64]) {
        let row = &mut self.rows[usize::from(expert)];
        if let Ok(at) = row.binary_search_by_key(&rank, |assignment| assignment.rank) {
            let assignment = row.remove(at);
            self.times[assignment.index()] -= assignment.tokens / speeds[assignment.index()];
            self.held[assignment.index()].retain(|&held| held != expert);
        }
    }

    /// Returns the layer as rows of a map.
    pub(crate) fn replicas(&self) -> impl Iterator<Item = Vec<Replica>> {
        self.rows.iter().map(|row| shares(row))
    }
}

/// Assigns `load` to replicas in proportion to their shares.
fn assignments<'a>(row: impl Iterator<Item = &'a Replica> + Clone, load: f64) -> Vec<Assignment> {
    let sum: f64 = row.clone().map(|r| r.share.fraction()).sum();
    let scale = if sum > 0.0 { load / sum } else { 0.0 };
    row.map(|r| Assignment {
        rank: r.rank.0,
        tokens: scale * r.share.fraction(),
    })
    .collect()
}

/// Rounds traffic to shares that add up to [`Share::WHOLE`].
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the position lies between zero and the whole"
)]
fn shares(row: &[Assignment]) -> Vec<Replica> {
    let sum: f64 = row.iter().map(|assignment| assignment.tokens).sum();
    let whole = f64::from(Share::WHOLE.0);
    let (mut reached, mut given) = (0.0, 0);
    let mut replicas = Vec::with_capacity(row.len());
    for (nth, assignment) in (1_u32..).zip(row) {
        reached += assignment.tokens;
        let last = nth as usize == row.len();
        let rounded = if last { whole } else { whole * reached / sum };
        let rounded = if rounded.is_finite() {
            rounded.round()
        } else {
            0.0
        };
        let share = Share(rounded as u16 - given);
        given = rounded as u16;
        replicas.push(Replica {
            rank: Rank(assignment.rank),
            share,
        });
    }
    replicas
}
