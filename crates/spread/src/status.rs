//! The status of the spread, for operators.

use std::time::Duration;

use cactusnotch_base::number::Sequence;
use cactusnotch_derive::record;

use crate::report::Laggard;
use crate::standing::Standing;

/// The status of the spread as seen by one process.
#[record]
pub struct Status {
    /// Whether the process serves.
    pub standing: Standing,
    /// The newest revision that the process holds.
    pub held: Sequence,
    /// The newest revision that any peer has reported.
    pub newest: Sequence,
    /// The newest revision that every process on the roster is confirmed to
    /// hold.
    pub in_force: Sequence,
    /// How many processes and data centres lack the newest revision or do not
    /// answer.
    pub lacking: u32,
    /// The first of them, each with how long it has lacked it.
    pub laggards: Vec<Laggard>,
    /// The age of the head's report of processes that lack the revision; `None`
    /// if it reported none.
    pub age: Option<Duration>,
}
