//! One loaded copy of an expert.

use cactusnotch_derive::number;
use cactusnotch_popularity::Rank;
use derive_more::Display;

/// A part of an expert's traffic, in units of 1 / [`Share::WHOLE`].
#[number]
#[derive(Display)]
#[serde(transparent)]
pub struct Share(pub u16);

impl Share {
    /// All the traffic of an expert.
    pub const WHOLE: Self = Self(1 << 15);

    /// Returns the share as a fraction between 0 and 1.
    #[must_use]
    pub fn fraction(self) -> f64 {
        f64::from(self.0) / f64::from(Self::WHOLE.0)
    }
}

/// One loaded copy of an expert: the rank that holds it and the part of the
/// expert's traffic that goes there.
#[number]
#[serde(from = "(Rank, Share)", into = "(Rank, Share)")]
pub struct Replica {
    /// The rank that holds the weights.
    pub rank: Rank,
    /// The part of the expert's traffic that the rank is given.
    pub share: Share,
}

impl From<(Rank, Share)> for Replica {
    fn from((rank, share): (Rank, Share)) -> Self {
        Self { rank, share }
    }
}

impl From<Replica> for (Rank, Share) {
    fn from(replica: Replica) -> Self {
        (replica.rank, replica.share)
    }
}
