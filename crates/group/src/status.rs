//! What the part beside a rank can tell.

use cactusnotch_base::name::Group;
use cactusnotch_base::number::Fence;
use cactusnotch_derive::message;
use cactusnotch_switch::{Rank, Switch};

/// What the part beside a rank can tell.
#[message]
#[derive(Eq)]
pub struct Status {
    /// The group.
    pub group: Group,
    /// The rank.
    pub rank: Rank,
    /// The map in force, once the rank has a part in the group.
    pub current: Option<Switch>,
    /// The fencing number, if this agent coordinates the group.
    pub fence: Option<Fence>,
    /// The switches that this agent coordinated to their end.
    pub applied: u64,
    /// The switches that this agent coordinated and that were given up.
    pub given_up: u64,
}
