//! One loaded copy of an expert.

use cactusnotch_derive::number;
use cactusnotch_popularity::{Rank, Share};

/// One loaded copy of an expert: the rank that holds it and the share of the
/// expert's traffic that is routed there.
#[number]
#[serde(from = "(Rank, Share)", into = "(Rank, Share)")]
pub struct Replica {
    /// The rank that holds the weights.
    pub rank: Rank,
    /// The share of the expert's traffic that the rank receives.
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
