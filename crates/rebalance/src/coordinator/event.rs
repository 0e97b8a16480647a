//! The events of a coordinator.

use crate::plan::Plan;

/// The outcome of a coordinator's step.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A round has begun.
    Began(Plan),
    /// The group is held and ranks may be armed.
    Held(u64),
    /// All ranks use the new map.
    Switched(u64),
    /// A round was abandoned before any rank was armed.
    Abandoned(u64),
    /// A group was released with no rank armed, since some rank did not confirm that it is
    /// responsive.
    Released(u64),
    /// A hold of a former coordinator was found, and is being resolved.
    HoldFound(u64),
}
