//! Whether the events of a stream have ids.

use cactusnotch_derive::record;

/// Whether the events of a stream have ids.
#[record]
#[derive(Copy)]
pub enum Ids {
    /// Each event has an id, a number larger than that of the event before it.
    Increasing,
    /// Events may have any id or none.
    Free,
}
