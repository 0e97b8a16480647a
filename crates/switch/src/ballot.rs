//! The set of ranks that have promised.

use cactusnotch_derive::message;

use crate::view::Rank;

const WORD_BITS: usize = 64;

/// The set of ranks that are known to have promised, as a bit set.
#[message]
#[derive(Default, Eq, Hash)]
pub struct Ballot {
    words: Vec<u64>,
}

impl Ballot {
    /// Adds a rank.
    pub fn insert(&mut self, rank: Rank) {
        let (word, bit) = position(rank);
        if self.words.len() <= word {
            self.words.resize(word + 1, 0);
        }
        self.words[word] |= bit;
    }

    /// Adds the ranks of `other`.
    pub fn merge(&mut self, other: &Self) {
        if self.words.len() < other.words.len() {
            self.words.resize(other.words.len(), 0);
        }
        for (mine, theirs) in self.words.iter_mut().zip(&other.words) {
            *mine |= theirs;
        }
    }

    /// Returns whether the rank is in the set.
    #[must_use]
    pub fn contains(&self, rank: Rank) -> bool {
        let (word, bit) = position(rank);
        self.words.get(word).is_some_and(|bits| bits & bit != 0)
    }

    /// Returns whether all ranks of a group of `size` are in the set.
    #[must_use]
    pub fn is_full(&self, size: usize) -> bool {
        let count: u32 = self.words.iter().map(|word| word.count_ones()).sum();
        count as usize == size
    }
}

const fn position(rank: Rank) -> (usize, u64) {
    let index = rank.0 as usize;
    (index / WORD_BITS, 1 << (index % WORD_BITS))
}
