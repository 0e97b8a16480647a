//! The status of a rank's part in the group.

use cactusnotch_base::name::Group;
use cactusnotch_base::number::Fence;
use cactusnotch_derive::message;
use cactusnotch_switch::{Rank, Switch};

/// The status of a rank's part in the group.
#[message]
#[derive(Eq)]
pub struct Status {
    /// The group.
    pub group: Group,
    /// The rank.
    pub rank: Rank,
    /// The map in force, once the rank participates in the group.
    pub current: Option<Switch>,
    /// The fencing number, if this agent coordinates the group.
    pub fence: Option<Fence>,
    /// The number of switches that this agent has coordinated to completion.
    pub applied: u64,
    /// The number of switches that this agent has coordinated and that were
    /// abandoned.
    pub given_up: u64,
}
