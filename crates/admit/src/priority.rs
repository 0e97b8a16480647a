//! The rank of a request among those of its organisation.

use cactusnotch_derive::number;
use derive_more::Display;

/// The rank of a request among those of its organisation.
///
/// A priority buys no advantage over other organisations, whose shares hold
/// whatever the priorities. Under backlog the ranks of one organisation get
/// its turns in the ratio 16 : 4 : 1, so that none starves.
#[number]
#[derive(Display)]
#[serde(rename_all = "kebab-case")]
pub enum Priority {
    /// Somebody waits for the answer, such as a caller on hold.
    #[display("high")]
    High,
    /// The usual rank.
    #[default]
    #[display("normal")]
    Normal,
    /// Work that can wait.
    #[display("low")]
    Low,
}

impl Priority {
    /// All ranks, the highest first.
    pub const ALL: [Self; 3] = [Self::High, Self::Normal, Self::Low];

    pub(crate) const fn index(self) -> usize {
        match self {
            Self::High => 0,
            Self::Normal => 1,
            Self::Low => 2,
        }
    }

    pub(crate) const fn weight(self) -> f64 {
        match self {
            Self::High => 16.0,
            Self::Normal => 4.0,
            Self::Low => 1.0,
        }
    }
}
