//! Whether a rank can be used.

use cactusnotch_derive::number;

/// Whether a rank can be used.
#[number]
pub enum State {
    /// The rank runs and holds what the map in force says.
    #[default]
    Loaded,
    /// The rank runs and holds nothing: it was replaced since the map in force
    /// was made.
    Empty,
    /// The rank is dead or leaving.
    Gone,
}
