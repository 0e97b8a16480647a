//! One loaded copy of an expert.

use cactusnotch_derive::number;
use cactusnotch_popularity::{Rank, Share};

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
