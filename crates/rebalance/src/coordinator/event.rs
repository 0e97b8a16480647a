//! What a coordinator has to say after a step.

use crate::plan::Plan;

/// What the coordinator has to say after a step.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A round has begun.
    Began(Plan),
    /// The group is held and ranks may be armed.
    Held(u64),
    /// All ranks use the new map.
    Switched(u64),
    /// A round was given up before any rank was armed.
    GivenUp(u64),
    /// A group was let go with no rank armed, since some rank did not say that it is
    /// there.
    LetGo(u64),
    /// A hold of a former coordinator was found, and is being resolved.
    Found(u64),
}
