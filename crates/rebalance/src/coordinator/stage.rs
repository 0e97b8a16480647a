//! How far a coordinator's round is.

use std::time::Instant;

/// How far the coordinator's round is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Stage {
    /// None is under way.
    Rest,
    /// The ranks load the map of this version.
    Prepare { since: Instant },
    /// The group is to be held; all ranks have loaded the map.
    Hold,
    /// The group is held, and the ranks get armed.
    Arm,
    /// The group is to be let go; either all ranks are armed, or none is.
    Go { armed: bool },
    /// The group goes on; the ranks switch as the pass begins.
    Switch,
}
