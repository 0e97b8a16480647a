//! How far a coordinator's round is.

use cactusnotch_base::clock::Instant;

/// How far the coordinator's round is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Stage {
    /// None is under way.
    Rest,
    /// The ranks load the map of this version.
    Prepare { since: Instant },
    /// The group is to be held; all ranks have loaded the map. A rank was last asked to
    /// hold it then.
    Hold { asked: Option<Instant> },
    /// The group is held, and the rank that has held it has to say that it is there. It
    /// was last told then.
    Meet {
        step: u64,
        since: Instant,
        told: Option<Instant>,
    },
    /// The group is held and that rank is out of reach: this rank gives the map up.
    Undo,
    /// The group is held, and this rank gets armed, ahead of all others.
    Lead,
    /// The group is held, and the other ranks get armed.
    Arm,
    /// The group is to be let go; either all ranks are armed, or none is.
    Go { armed: bool },
    /// The group goes on; the ranks switch as the pass begins.
    Switch,
}
