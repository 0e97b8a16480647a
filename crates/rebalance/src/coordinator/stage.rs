//! The stages of a coordinator's round.

use cactusnotch_base::clock::Instant;

/// The stage of the coordinator's round.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Stage {
    /// No round is under way.
    Idle,
    /// The ranks load the map of the round.
    Prepare { since: Instant },
    /// The group is to be held; all ranks have loaded the map. `requested` is when a rank
    /// was last asked to hold it.
    Hold { requested: Option<Instant> },
    /// The group is held, and the rank that has held it must confirm that it is responsive.
    /// `announced` is when it was last notified.
    Confirm {
        step: u64,
        since: Instant,
        announced: Option<Instant>,
    },
    /// The group is held and is to be released unarmed: this rank reverts to the map in force
    /// before.
    Revert { step: u64 },
    /// The group is held, and this rank is being armed, before all others.
    ArmLeader { step: u64 },
    /// This rank is armed, and the other ranks are being armed for the same pass.
    ArmOthers,
    /// The group is to be released; either all ranks are armed, or none is.
    Release { armed: bool },
    /// The group was released; the ranks switch as the pass begins.
    Switch,
}
