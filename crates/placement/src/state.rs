//! The availability of a rank.

use cactusnotch_derive::number;

/// The availability of a rank.
#[number]
pub enum State {
    /// The rank runs and holds the experts that the map in force assigns to it.
    #[default]
    Loaded,
    /// The rank runs and holds no experts: it was replaced after the map in
    /// force was computed.
    Empty,
    /// The rank has crashed or is leaving.
    Gone,
}
