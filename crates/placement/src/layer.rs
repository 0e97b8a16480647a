//! The working copy of one layer of a map.

use cactusnotch_popularity::{Rank, Share};

use crate::fill::{self, Part};
use crate::replica::Replica;

/// The most rounds in which traffic is split anew.
const ROUNDS: usize = 24;
/// The most rounds in which the traffic of a move that is only tried is split.
const TRIAL_ROUNDS: usize = 3;
/// The change, relative to the slowest rank's time, at which splitting ends.
const TOLERANCE: f64 = 5e-4;

/// The working copy of one layer: replicas on usable ranks only, the traffic
/// of each, and how long each rank is busy in a step.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Layer {
    pub(crate) loads: Vec<f64>,
    pub(crate) rows: Vec<Vec<Part>>,
    pub(crate) times: Vec<f64>,
    pub(crate) held: Vec<Vec<u16>>,
}

impl Layer {
    /// Creates the copy from the rows of a map, without the ranks that are not
    /// `usable`. An expert may be left without a replica.
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
            layer.rows.push(parts(kept, layer.loads[expert]));
        }
        layer.index();
        layer.time(speeds);
        layer
    }

    fn index(&mut self) {
        for (expert, row) in (0..).zip(&self.rows) {
            for part in row {
                self.held[part.at()].push(expert);
            }
        }
    }

    fn time(&mut self, speeds: &[f64]) {
        self.times.fill(0.0);
        for part in self.rows.iter().flatten() {
            self.times[part.at()] += part.tokens / speeds[part.at()];
        }
    }

    /// Returns the same placement under other loads, with traffic split anew.
    pub(crate) fn under(&self, loads: &[f64], speeds: &[f64]) -> Self {
        let mut other = self.clone();
        other.loads.clear();
        other.loads.extend_from_slice(loads);
        for (row, (old, new)) in other.rows.iter_mut().zip(self.loads.iter().zip(loads)) {
            let factor = if *old > 0.0 { new / old } else { 0.0 };
            for part in row {
                part.tokens *= factor;
            }
        }
        other.time(speeds);
        other.balance(speeds);
        other
    }

    /// Splits the traffic of every expert so that the slowest rank is as fast
    /// as the placement allows, up to a small tolerance.
    pub(crate) fn balance(&mut self, speeds: &[f64]) {
        self.rounds(speeds, ROUNDS);
    }

    /// Splits the traffic after a small change, about as well as needed to
    /// compare it with others.
    pub(crate) fn settle(&mut self, speeds: &[f64]) {
        self.rounds(speeds, TRIAL_ROUNDS);
    }

    fn rounds(&mut self, speeds: &[f64], rounds: usize) {
        let mut order = Vec::new();
        for _ in 0..rounds {
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
        if let Err(at) = row.binary_search_by_key(&rank, |part| part.rank) {
            let tokens = 0.0;
            row.insert(at, Part { rank, tokens });
            self.held[usize::from(rank)].push(expert);
        }
    }

    /// Removes the replica of `expert` on `rank`. Its traffic goes to the
    /// other replicas when the layer is balanced next.
    pub(crate) fn remove(&mut self, expert: u16, rank: u16, speeds: &[f64]) {
        let row = &mut self.rows[usize::from(expert)];
        if let Ok(at) = row.binary_search_by_key(&rank, |part| part.rank) {
            let part = row.remove(at);
            self.times[part.at()] -= part.tokens / speeds[part.at()];
            self.held[part.at()].retain(|&held| held != expert);
        }
    }

    /// Returns the layer as rows of a map.
    pub(crate) fn replicas(&self) -> impl Iterator<Item = Vec<Replica>> {
        self.rows.iter().map(|row| shares(row))
    }
}

/// Spreads `load` over replicas in proportion to their shares.
fn parts<'a>(row: impl Iterator<Item = &'a Replica> + Clone, load: f64) -> Vec<Part> {
    let sum: f64 = row.clone().map(|r| r.share.fraction()).sum();
    let scale = if sum > 0.0 { load / sum } else { 0.0 };
    row.map(|r| Part {
        rank: r.rank.0,
        tokens: scale * r.share.fraction(),
    })
    .collect()
}

/// Rounds traffic to shares that add up to the whole.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the position lies between zero and the whole"
)]
fn shares(row: &[Part]) -> Vec<Replica> {
    let sum: f64 = row.iter().map(|part| part.tokens).sum();
    let whole = f64::from(Share::WHOLE.0);
    let (mut reached, mut given) = (0.0, 0);
    let mut replicas = Vec::with_capacity(row.len());
    for (nth, part) in (1_u32..).zip(row) {
        reached += part.tokens;
        let last = nth as usize == row.len();
        let upto = if last { whole } else { whole * reached / sum };
        let upto = if upto.is_finite() { upto.round() } else { 0.0 };
        let share = Share(upto as u16 - given);
        given = upto as u16;
        replicas.push(Replica {
            rank: Rank(part.rank),
            share,
        });
    }
    replicas
}
