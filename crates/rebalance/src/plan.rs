//! Which few experts to move next.

use cactusnotch_derive::record;

use crate::Shape;
use crate::estimate::Estimate;
use crate::map::{Map, Move};

/// How a round is kept small, and what a move has to bring.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Options {
    /// The most experts that one rank gets in a round; it decides how long
    /// the ranks load.
    pub per_rank: usize,
    /// The part of the busiest rank's load that a new expert has to take off.
    pub gain: f64,
}

/// A round's moves with the skew that they are made for.
#[record]
#[derive(Default)]
pub struct Plan {
    /// The moves.
    pub moves: Vec<Move>,
    /// The busiest rank's load over the mean, over all sets, in thousandths.
    pub before: u32,
    /// The same after the moves.
    pub after: u32,
}

/// One set with its loads.
#[derive(Debug, Clone)]
struct Layer {
    ranks: Vec<Vec<u16>>,
    weights: Vec<f64>,
    holders: Vec<u32>,
    loads: Vec<f64>,
    new: Vec<usize>,
}

/// A change of a set and what it brings.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Candidate {
    first: Move,
    second: Option<Move>,
    /// What it takes off the busiest rank's load, for each new expert.
    gain: f64,
}

/// Plans the moves of a round.
#[must_use]
pub fn plan(map: &Map, estimate: &Estimate, shape: &Shape, options: &Options) -> Plan {
    let mut layers: Vec<_> = map
        .sets
        .iter()
        .enumerate()
        .map(|(set, ranks)| Layer::new(ranks, estimate.set(set)))
        .collect();
    let ranks = map.sets.first().map_or(0, Vec::len);
    let mut room = vec![options.per_rank; ranks];
    let before = skew(&layers);
    let mut moves = Vec::new();
    let mut best: Vec<Option<Candidate>> = Vec::new();
    for (set, layer) in layers.iter().enumerate() {
        best.push(layer.best(set, &room, shape, options));
    }
    while let Some(chosen) = most(&best) {
        let set = usize::from(chosen.first.set);
        // What others took meanwhile may have left this one no room.
        if !fits(&chosen, &room) {
            best[set] = layers[set].best(set, &room, shape, options);
            continue;
        }
        for step in [Some(chosen.first), chosen.second].into_iter().flatten() {
            layers[set].carry_out(&step);
            room[usize::from(step.rank)] -= 1;
            moves.push(step);
        }
        best[set] = layers[set].best(set, &room, shape, options);
    }
    Plan {
        moves,
        before,
        after: skew(&layers),
    }
}

fn most(best: &[Option<Candidate>]) -> Option<Candidate> {
    best.iter()
        .flatten()
        .copied()
        .max_by(|a, b| a.gain.total_cmp(&b.gain))
}

fn fits(candidate: &Candidate, room: &[usize]) -> bool {
    let steps = [Some(candidate.first), candidate.second];
    steps
        .into_iter()
        .flatten()
        .all(|step| room[usize::from(step.rank)] > 0)
}

/// Returns the mean over the sets of the busiest rank's load over the mean, in
/// thousandths.
fn skew(layers: &[Layer]) -> u32 {
    let ratios: Vec<_> = layers.iter().filter_map(Layer::ratio).collect();
    let count = u32::try_from(ratios.len()).unwrap_or(u32::MAX).max(1);
    thousandths(ratios.iter().sum::<f64>() / f64::from(count))
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a ratio lies between one and the number of ranks"
)]
fn thousandths(ratio: f64) -> u32 {
    (ratio * 1000.0).round() as u32
}

impl Layer {
    fn new(ranks: &[Vec<u16>], weights: &[f64]) -> Self {
        let mut holders = vec![0; weights.len()];
        for &expert in ranks.iter().flatten() {
            holders[usize::from(expert)] += 1;
        }
        let mut layer = Self {
            ranks: ranks.to_vec(),
            weights: weights.to_vec(),
            holders,
            loads: vec![0.0; ranks.len()],
            new: vec![0; ranks.len()],
        };
        layer.sum();
        layer
    }

    /// Returns what each holder of an expert does of its work.
    fn share(&self, expert: u16) -> f64 {
        let expert = usize::from(expert);
        self.weights[expert] / f64::from(self.holders[expert].max(1))
    }

    fn sum(&mut self) {
        for rank in 0..self.ranks.len() {
            self.loads[rank] = self.ranks[rank]
                .iter()
                .map(|&expert| self.share(expert))
                .sum();
        }
    }

    fn ratio(&self) -> Option<f64> {
        let total: f64 = self.loads.iter().sum();
        let ranks = u32::try_from(self.loads.len()).ok()?;
        let most = self.loads.iter().copied().fold(0.0, f64::max);
        (total > 0.0).then(|| most * f64::from(ranks) / total)
    }

    fn carry_out(&mut self, step: &Move) {
        let rank = usize::from(step.rank);
        if let Some(out) = step.out {
            self.ranks[rank].retain(|&expert| expert != out);
            self.holders[usize::from(out)] -= 1;
        }
        self.ranks[rank].push(step.new);
        self.ranks[rank].sort_unstable();
        self.holders[usize::from(step.new)] += 1;
        self.new[rank] += 1;
        self.sum();
    }

    /// Returns the change that takes most off the busiest rank.
    fn best(
        &self,
        set: usize,
        room: &[usize],
        shape: &Shape,
        options: &Options,
    ) -> Option<Candidate> {
        let busiest =
            (0..self.loads.len()).max_by(|&a, &b| self.loads[a].total_cmp(&self.loads[b]))?;
        let least = self.loads[busiest] * options.gain;
        if least <= 0.0 {
            return None;
        }
        let open = |rank: usize| room[rank] > 0 && self.new[rank] < shape.spare;
        let mut best: Option<Candidate> = None;
        let mut offer = |candidate: Candidate| {
            if candidate.gain >= least && best.is_none_or(|best| candidate.gain > best.gain) {
                best = Some(candidate);
            }
        };
        let number = |value: usize| u16::try_from(value).unwrap_or(u16::MAX);
        for &hot in &self.ranks[busiest] {
            for rank in (0..self.ranks.len()).filter(|&rank| rank != busiest && open(rank)) {
                if self.ranks[rank].binary_search(&hot).is_ok() {
                    continue;
                }
                let copy = |out| Move {
                    set: number(set),
                    rank: number(rank),
                    out,
                    new: hot,
                };
                if self.ranks[rank].len() < shape.places {
                    offer(Candidate {
                        first: copy(None),
                        second: None,
                        gain: self.gain(&[copy(None)]),
                    });
                    continue;
                }
                for &out in &self.ranks[rank] {
                    if self.holders[usize::from(out)] > 1 {
                        let first = copy(Some(out));
                        offer(Candidate {
                            first,
                            second: None,
                            gain: self.gain(&[first]),
                        });
                    }
                    let back = Move {
                        set: number(set),
                        rank: number(busiest),
                        out: Some(hot),
                        new: out,
                    };
                    if open(busiest) && self.ranks[busiest].binary_search(&out).is_err() {
                        let first = copy(Some(out));
                        let gain = self.gain(&[first, back]) / 2.0;
                        offer(Candidate {
                            first,
                            second: Some(back),
                            gain,
                        });
                    }
                }
            }
        }
        best
    }

    /// Returns what moves take off the busiest rank's load.
    fn gain(&self, steps: &[Move]) -> f64 {
        let before = self.loads.iter().copied().fold(0.0, f64::max);
        let mut loads = self.loads.clone();
        // An expert's holders change their share when one is added or taken.
        for expert in experts(steps).into_iter().flatten() {
            let count = self.holders[usize::from(expert)];
            let added = count_of(steps.iter().filter(|step| step.new == expert).count());
            let taken = count_of(steps.iter().filter(|step| step.out == Some(expert)).count());
            let after = count + added - taken;
            let weight = self.weights[usize::from(expert)];
            let (old, new) = (
                weight / f64::from(count.max(1)),
                weight / f64::from(after.max(1)),
            );
            for (rank, held) in self.ranks.iter().enumerate() {
                let was = held.binary_search(&expert).is_ok();
                let gets = steps
                    .iter()
                    .any(|step| usize::from(step.rank) == rank && step.new == expert);
                let loses = steps
                    .iter()
                    .any(|step| usize::from(step.rank) == rank && step.out == Some(expert));
                if was {
                    loads[rank] -= old;
                }
                if (was && !loses) || gets {
                    loads[rank] += new;
                }
            }
        }
        before - loads.iter().copied().fold(0.0, f64::max)
    }
}

fn count_of(count: usize) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}

/// Returns the two experts that a change of one or two moves concerns.
fn experts(steps: &[Move]) -> [Option<u16>; 2] {
    let first = steps.first();
    [first.map(|step| step.new), first.and_then(|step| step.out)]
}
