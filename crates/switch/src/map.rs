//! References to expert maps, and the step from which each is used.

use cactusnotch_base::number::{Epoch, Step};
use cactusnotch_derive::number;

/// A reference to an expert map of a group. The content of the map is a platform
/// object.
#[number]
pub struct Map {
    /// The number of the map within its group.
    pub epoch: Epoch,
    /// A digest of the map's content.
    pub digest: u64,
}

/// A map and the first step that uses it.
#[number]
pub struct Switch {
    /// The map.
    pub map: Map,
    /// The first step that uses the map.
    pub from: Step,
}
