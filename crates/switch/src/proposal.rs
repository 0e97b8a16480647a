//! Proposals of a switch to another map.

use cactusnotch_base::number::{Fence, Sequence, Step};
use cactusnotch_derive::{message, number};
use derive_more::Display;

use crate::map::Switch;

/// The identity of a proposal. Later proposals have larger ones.
#[number]
#[derive(Display)]
#[display("{fence}.{sequence}")]
pub struct Id {
    /// The fencing number of the proposing coordinator.
    pub fence: Fence,
    /// The position among the coordinator's proposals.
    pub sequence: Sequence,
}

/// A proposed switch on which every rank votes.
#[message]
#[derive(Copy, Eq, Hash)]
pub struct Proposal {
    /// The identity of the proposal.
    pub id: Id,
    /// The number of the view whose ranks vote.
    pub view: u64,
    /// The map and the step from which it would be used.
    pub switch: Switch,
}

impl Proposal {
    /// Returns the step before the switch, which the ranks do not start until
    /// they have the outcome.
    #[must_use]
    pub const fn hold_step(&self) -> Step {
        Step(self.switch.from.0 - 1)
    }
}
