//! The priority of a request among those of its organisation.

use cactusnotch_derive::number;
use derive_more::Display;

/// The priority of a request among those of its organisation.
///
/// A priority gives no advantage over other organisations, since their shares
/// apply regardless of priorities. Under backlog the priorities of one
/// organisation are served in the ratio 16 : 4 : 1, which prevents starvation.
#[number]
#[derive(Display)]
#[serde(rename_all = "kebab-case")]
pub enum Priority {
    /// Interactive requests, such as those of a caller on hold.
    #[display("high")]
    High,
    /// The default.
    #[default]
    #[display("normal")]
    Normal,
    /// Requests that can wait.
    #[display("low")]
    Low,
}

impl Priority {
    /// All priorities, the highest first.
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
