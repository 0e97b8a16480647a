//! What an agent reads of its own endpoint.

use cactusnotch_derive::{message, record};

use cactusnotch_gateway::endpoint::StartTime;

use crate::Slowdown;

/// A rank of a group, as its endpoint names it.
#[message]
#[derive(Eq)]
pub struct Place {
    /// The group's name.
    pub group: String,
    /// The number of the group's present life; a group that has formed anew
    /// has another and begins with map 0.
    pub epoch: u64,
    /// The rank.
    pub rank: u16,
    /// The ranks of the group.
    pub size: u16,
}

impl Place {
    /// Tells whether `other` is a rank of the same life of the same group.
    #[must_use]
    pub fn is_beside(&self, other: &Self) -> bool {
        (&self.group, self.epoch) == (&other.group, other.epoch)
    }
}

/// The expert maps of one rank.
#[message]
#[derive(Copy, Eq, Default)]
pub struct Maps {
    /// The last pass that was begun.
    pub step: u64,
    /// The version of the map in force.
    pub current: u64,
    /// The version whose experts are loaded, beside the one in force.
    pub prepared: Option<u64>,
    /// The version that a coming pass switches to.
    pub armed: Option<u64>,
    /// The pass that the group does not begin until it is let go.
    pub held: Option<u64>,
}

/// What an agent reads of its own endpoint.
#[record]
pub struct State {
    /// The rank that the endpoint is, if it is one.
    pub place: Option<Place>,
    /// Whether the group takes requests.
    pub open: bool,
    /// The maps of this rank.
    pub maps: Maps,
    /// When the endpoint started, if it says so.
    pub born: Option<StartTime>,
    /// The number of orders that the endpoint has begun.
    pub sequence: u64,
    /// The requests that run.
    pub running: u32,
    /// The requests that wait.
    pub waiting: u32,
    /// How slow the rank is.
    pub pace: Slowdown,
    /// The part of the memory for prompts that is in use, in thousandths.
    pub memory: u16,
}

/// How often this rank's requests have chosen each expert.
#[record]
pub struct Counts {
    /// The group's life that they belong to.
    pub epoch: u64,
    /// The counts since the rank's start, set by set.
    pub counts: Vec<u64>,
}
