//! Which few experts to move next.

use cactusnotch_derive::record;

use crate::Shape;
use crate::estimate::Estimate;
use crate::layer::Layer;
use crate::map::{Map, Move};

/// How a round is kept small, and what a move has to bring.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Options {
    /// The most experts that one rank gets in a round; it decides how long
    /// the ranks load.
    pub per_rank: usize,
    /// What each new expert has to take off the peak load, as a part of the
    /// mean load. Copies are paid for and slow the group while they are made.
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

impl Plan {
    /// Returns the part of the skew that the moves take off.
    #[must_use]
    pub fn gain(&self) -> f64 {
        let before = f64::from(self.before.max(1));
        (before - f64::from(self.after)) / before
    }
}

/// A change of a set and what it brings.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Candidate {
    pub(crate) first: Move,
    pub(crate) second: Option<Move>,
    /// What it takes off the peak for each new expert, in mean loads.
    pub(crate) gain: f64,
}

impl Candidate {
    fn moves(&self) -> impl Iterator<Item = Move> {
        [Some(self.first), self.second].into_iter().flatten()
    }

    fn fits(&self, room: &[usize]) -> bool {
        self.moves().all(|step| room[usize::from(step.rank)] > 0)
    }
}

/// Plans the moves of a round.
///
/// Over all sets the change that brings most for each copy comes first, for
/// as long as ranks have room in this round.
#[must_use]
pub fn plan(map: &Map, estimate: &Estimate, shape: &Shape, options: &Options) -> Plan {
    let mut layers = layers(map, estimate);
    let ranks = map.sets.first().map_or(0, Vec::len);
    let mut room = vec![options.per_rank; ranks];
    let before = skew(&layers);
    let mut moves = Vec::new();
    let mut best: Vec<_> = layers
        .iter()
        .map(|layer| layer.best(&room, shape, options.gain))
        .collect();
    while let Some((set, chosen)) = most(&best) {
        // Another set may have taken the room since this was found.
        if chosen.fits(&room) {
            for step in chosen.moves() {
                layers[set].carry_out(&step);
                room[usize::from(step.rank)] -= 1;
                moves.push(step);
            }
        }
        best[set] = layers[set].best(&room, shape, options.gain);
    }
    Plan {
        moves,
        before,
        after: skew(&layers),
    }
}

/// Returns the mean over the sets of the busiest rank's load over the mean under
/// `map`, in thousandths.
#[must_use]
pub fn skew_of(map: &Map, estimate: &Estimate) -> u32 {
    skew(&layers(map, estimate))
}

fn layers(map: &Map, estimate: &Estimate) -> Vec<Layer> {
    let sets = map.sets.iter().enumerate();
    sets.map(|(set, ranks)| Layer::new(set, ranks, estimate.set(set)))
        .collect()
}

fn most(best: &[Option<Candidate>]) -> Option<(usize, Candidate)> {
    let found = best
        .iter()
        .enumerate()
        .filter_map(|(set, candidate)| Some((set, (*candidate)?)));
    found.max_by(|(_, a), (_, b)| a.gain.total_cmp(&b.gain))
}

/// Returns the mean over the sets of the busiest rank's load over the mean, in
/// thousandths.
fn skew(layers: &[Layer]) -> u32 {
    let ratios: Vec<_> = layers.iter().filter_map(Layer::skew).collect();
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
