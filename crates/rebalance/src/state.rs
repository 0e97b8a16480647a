//! The state that an agent reads from its own endpoint.

use cactusnotch_derive::{message, record};

use cactusnotch_gateway::endpoint::StartTime;

use crate::Slowdown;

/// The position of a rank in its group, as its endpoint reports it.
#[message]
#[derive(Eq)]
pub struct Place {
    /// The group's name.
    pub group: String,
    /// The epoch of the group. A group that has formed anew has another one and
    /// begins with map 0.
    pub epoch: u64,
    /// The rank.
    pub rank: u16,
    /// The number of ranks of the group.
    pub size: u16,
}

impl Place {
    /// Returns whether `other` is a rank of the same group in the same epoch.
    #[must_use]
    pub fn shares_group(&self, other: &Self) -> bool {
        (&self.group, self.epoch) == (&other.group, other.epoch)
    }
}

/// The expert maps of one rank.
#[message]
#[derive(Copy, Eq, Default)]
pub struct Maps {
    /// The last pass that began.
    pub step: u64,
    /// The version of the map in force.
    pub current: u64,
    /// The version whose experts are loaded beside those in force.
    pub prepared: Option<u64>,
    /// The version that a later pass will switch to.
    pub armed: Option<u64>,
    /// The pass that the group does not begin until it is released.
    pub held: Option<u64>,
}

/// The state that an agent reads from its own endpoint.
#[record]
pub struct State {
    /// The rank that the endpoint is, if it belongs to a group.
    pub place: Option<Place>,
    /// Whether the group accepts requests.
    pub open: bool,
    /// The maps of this rank.
    pub maps: Maps,
    /// The start time of the endpoint, if reported.
    pub born: Option<StartTime>,
    /// The number of orders that the endpoint has begun.
    pub sequence: u64,
    /// The number of running requests.
    pub running: u32,
    /// The number of waiting requests.
    pub waiting: u32,
    /// How slow the rank is.
    pub pace: Slowdown,
    /// The fraction of the memory for prompts that is in use, in thousandths.
    pub memory: u16,
}

/// How often this rank's requests have chosen each expert.
#[record]
pub struct Counts {
    /// The epoch of the group that the counts belong to.
    pub epoch: u64,
    /// The counts since the rank's start, set by set.
    pub counts: Vec<u64>,
}
