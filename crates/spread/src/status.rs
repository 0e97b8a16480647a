//! What a process can tell operators about the spread of revisions.

use std::time::Duration;

use cactusnotch_base::number::Sequence;
use cactusnotch_derive::record;

use crate::report::Laggard;
use crate::standing::Standing;

/// What a process can tell operators about the spread of revisions.
#[record]
pub struct Status {
    /// Whether the process serves.
    pub standing: Standing,
    /// The newest revision that the process holds.
    pub held: Sequence,
    /// The newest revision that it has heard of.
    pub newest: Sequence,
    /// The newest revision that is proved to be held by every process on the
    /// roster.
    pub in_force: Sequence,
    /// How many processes and data centres lack the newest revision or do not
    /// answer.
    pub lacking: u32,
    /// The first of them, each with how long it has lacked it.
    pub laggards: Vec<Laggard>,
    /// How long ago the head of the data centre told of those lacking; `None`
    /// if it told of none.
    pub age: Option<Duration>,
}
