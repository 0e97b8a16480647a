//! What processes tell one another about who can be reached.

use cactusnotch_base::name::Process;
use cactusnotch_base::number::Incarnation;
use cactusnotch_derive::{message, number};

/// A life of a process, with the number of suspicions that it has refuted.
#[number]
pub struct Instance {
    /// The life.
    #[serde(rename = "i")]
    pub incarnation: Incarnation,
    /// How many suspicions the process has refuted in this life.
    #[serde(rename = "r")]
    pub refuted: u32,
}

/// Whether a process can be reached. A later variant overrides an earlier one
/// of the same life.
#[number]
pub enum Status {
    /// It answers.
    #[default]
    #[serde(rename = "a")]
    Alive,
    /// A neighbour could not reach it, directly or through others.
    #[serde(rename = "s")]
    Suspect,
    /// It was suspected and did not refute in time.
    #[serde(rename = "d")]
    Dead,
}

/// What one process tells another about a third.
#[message]
#[derive(Eq)]
pub struct Rumour {
    /// The process that the rumour is about.
    #[serde(rename = "p")]
    pub process: Process,
    /// The life that the rumour is about.
    #[serde(rename = "l")]
    pub instance: Instance,
    /// Whether the process can be reached.
    #[serde(rename = "s")]
    pub status: Status,
}
