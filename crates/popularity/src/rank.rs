//! The number of a rank within its group.

use cactusnotch_derive::number;
use derive_more::{Display, From, Into};

/// The number of a rank within its group.
#[number]
#[derive(Display, From, Into)]
#[serde(transparent)]
pub struct Rank(pub u16);

impl Rank {
    /// Returns the index of the rank in a table with one row per rank.
    #[must_use]
    pub const fn index(self) -> usize {
        self.0 as usize
    }
}
