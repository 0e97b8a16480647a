//! The expert map: which ranks hold each expert.

use cactusnotch_derive::{message, record};

/// The experts that each rank holds, by set and rank. The ranks that hold an
/// expert share its work evenly.
#[record]
#[derive(Default)]
pub struct Map {
    /// For each set, for each rank, the experts in ascending order.
    pub sets: Vec<Vec<Vec<u16>>>,
}

/// A change of one rank: an expert that it adds, one that it removes, or both.
#[message]
#[derive(Copy, Eq)]
pub struct Move {
    /// The set of layers.
    pub set: u16,
    /// The rank.
    pub rank: u16,
    /// The expert that the rank removes, if any.
    pub out: Option<u16>,
    /// The expert that the rank adds, if any; it has to be copied.
    pub new: Option<u16>,
}

impl Map {
    /// Applies a move; returns whether it fits the map.
    pub fn apply(&mut self, step: &Move) -> bool {
        let rank = self.sets.get_mut(usize::from(step.set));
        let Some(held) = rank.and_then(|set| set.get_mut(usize::from(step.rank))) else {
            return false;
        };
        if let Some(new) = step.new {
            let Err(at) = held.binary_search(&new) else {
                return false;
            };
            held.insert(at, new);
        }
        let Some(out) = step.out else {
            return true;
        };
        held.binary_search(&out).map(|at| held.remove(at)).is_ok()
    }

    /// Returns whether every expert of each set is held by a rank, and no rank
    /// holds more than `places` of a set.
    #[must_use]
    pub fn is_complete(&self, experts: usize, places: usize) -> bool {
        self.sets.iter().all(|ranks| {
            let mut held = vec![false; experts];
            for &expert in ranks.iter().flatten() {
                if let Some(held) = held.get_mut(usize::from(expert)) {
                    *held = true;
                }
            }
            held.iter().all(|&held| held) && ranks.iter().all(|rank| rank.len() <= places)
        })
    }
}
