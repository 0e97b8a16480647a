//! Plans the moves of the next round.

use std::time::Duration;

use cactusnotch_derive::record;

use crate::Shape;
use crate::estimate::Estimate;
use crate::layer::Layer;
use crate::map::{Map, Move};
use crate::pressure::Pressure;
use crate::threshold::Threshold;

/// The limits of a round, and the gain required of a move.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Options {
    /// The most experts that one rank adds in a round; it determines how long the ranks
    /// load.
    pub copies_per_rank: usize,
    /// The reduction of the peak load required of each new expert.
    pub threshold: Threshold,
    /// The longest gap between events that callers of the group accept.
    pub max_event_gap: Option<Duration>,
}

/// The state of the group that is planned for.
#[derive(Debug, Clone, Copy)]
pub struct Group<'a> {
    /// How near it is to its limits.
    pub pressure: &'a Pressure,
    /// The slowdown factor of each rank: how many times longer than usual it takes.
    pub slowdowns: &'a [f64],
}

/// The moves of a round with the skew before and after them.
#[record]
#[derive(Default)]
pub struct Plan {
    /// The moves.
    pub moves: Vec<Move>,
    /// The time of the slowest rank relative to that of an even share at normal speed, mean
    /// of all sets, in thousandths.
    pub before: u32,
    /// The same after the moves.
    pub after: u32,
    /// How near the group is to its limits without the moves, from 0 to 100.
    pub pressure: u8,
}

impl Plan {
    /// Returns the fraction of the skew that the moves remove.
    #[must_use]
    pub fn gain(&self) -> f64 {
        let before = f64::from(self.before.max(1));
        (before - f64::from(self.after)) / before
    }
}

/// A change of a set and its gain.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Candidate {
    pub(crate) first: Move,
    pub(crate) second: Option<Move>,
    /// The reduction of the peak for each new expert, or in total if there is none, in mean
    /// loads.
    pub(crate) gain: f64,
}

impl Candidate {
    fn moves(&self) -> impl Iterator<Item = Move> {
        [Some(self.first), self.second].into_iter().flatten()
    }

    fn fits(&self, copies_left: &[usize]) -> bool {
        self.moves()
            .all(|step| step.new.is_none() || copies_left[usize::from(step.rank)] > 0)
    }
}

/// Plans the moves of a round.
///
/// Over all sets, the change with the greatest gain for each copy comes first, while ranks
/// may add experts in this round and a copy reaches the threshold at the remaining skew.
#[must_use]
pub fn plan(
    map: &Map,
    estimate: &Estimate,
    shape: &Shape,
    options: &Options,
    group: &Group<'_>,
) -> Plan {
    let mut layers = layers(map, estimate, group.slowdowns);
    let ranks = map.sets.first().map_or(0, Vec::len);
    let mut copies_left = vec![options.copies_per_rank; ranks];
    let before = skew(&layers);
    let min_gain = |skew| options.threshold.min_gain(group.pressure.at(skew));
    let mut after = before;
    let mut moves = Vec::new();
    let mut best: Vec<_> = layers
        .iter()
        .map(|layer| layer.best(&copies_left, shape, min_gain(after)))
        .collect();
    while let Some((set, chosen)) = best_of(&best).filter(|(_, best)| best.gain >= min_gain(after))
    {
        // Another set may have used up the copies of a rank since this change was found.
        if chosen.fits(&copies_left) {
            for step in chosen.moves() {
                layers[set].apply(&step);
                copies_left[usize::from(step.rank)] -= usize::from(step.new.is_some());
                moves.push(step);
            }
            after = skew(&layers);
        }
        best[set] = layers[set].best(&copies_left, shape, min_gain(after));
    }
    Plan {
        moves,
        before,
        after,
        pressure: hundredths(group.pressure.at(before)),
    }
}

/// Returns the mean over the sets of the busiest rank's time relative to that of an even
/// share at normal speed under `map`, in thousandths. `slowdowns` gives how many times
/// longer than usual each rank takes.
#[must_use]
pub fn skew_of(map: &Map, estimate: &Estimate, slowdowns: &[f64]) -> u32 {
    skew(&layers(map, estimate, slowdowns))
}

fn layers(map: &Map, estimate: &Estimate, slowdowns: &[f64]) -> Vec<Layer> {
    let sets = map.sets.iter().enumerate();
    sets.map(|(set, ranks)| Layer::new(set, ranks, estimate.set(set), slowdowns))
        .collect()
}

fn best_of(best: &[Option<Candidate>]) -> Option<(usize, Candidate)> {
    let found = best
        .iter()
        .enumerate()
        .filter_map(|(set, candidate)| Some((set, (*candidate)?)));
    found.max_by(|(_, a), (_, b)| a.gain.total_cmp(&b.gain))
}

/// Returns the mean over the sets of the busiest rank's load relative to the mean load, in
/// thousandths.
fn skew(layers: &[Layer]) -> u32 {
    let ratios: Vec<_> = layers.iter().filter_map(Layer::skew).collect();
    let count = u32::try_from(ratios.len()).unwrap_or(u32::MAX).max(1);
    thousandths(ratios.iter().sum::<f64>() / f64::from(count))
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a part lies between 0 and 1"
)]
fn hundredths(part: f64) -> u8 {
    (part * 100.0).round() as u8
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a ratio lies between one and the number of ranks"
)]
fn thousandths(ratio: f64) -> u32 {
    (ratio * 1000.0).round() as u32
}
