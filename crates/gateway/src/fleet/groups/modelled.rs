//! The limits of a group that the configuration yields.

use cactusnotch_overload::Ceiling;

/// The limits of a group that the configuration yields, without a statement of its leader.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Modelled {
    /// At the skew that a shift of demand leaves.
    pub(super) usual: Ceiling,
    /// At the skew of map 0, for a group that has just formed.
    pub(super) forming: Ceiling,
}
