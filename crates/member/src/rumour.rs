//! Rumours: gossiped reports about the reachability of processes.

use cactusnotch_base::name::Process;
use cactusnotch_base::number::Incarnation;
use cactusnotch_derive::{message, number};

/// An incarnation of a process with the number of suspicions that it has refuted.
/// A larger instance overrides a smaller one.
#[number]
pub struct Instance {
    /// The incarnation.
    #[serde(rename = "i")]
    pub incarnation: Incarnation,
    /// The number of suspicions that the process has refuted in this incarnation.
    #[serde(rename = "r")]
    pub refuted: u32,
}

/// Whether a process can be reached. A later variant overrides an earlier one
/// of the same instance.
#[number]
pub enum Status {
    /// It answers.
    #[default]
    #[serde(rename = "a")]
    Alive,
    /// A neighbour could not reach it, directly or through others.
    #[serde(rename = "s")]
    Suspect,
    /// It was suspected and did not refute this in time.
    #[serde(rename = "d")]
    Dead,
}

/// A report of one process to another about a third.
#[message]
#[derive(Eq)]
pub struct Rumour {
    /// The process that the rumour is about.
    #[serde(rename = "p")]
    pub process: Process,
    /// The instance that the rumour is about.
    #[serde(rename = "l")]
    pub instance: Instance,
    /// Whether the process can be reached.
    #[serde(rename = "s")]
    pub status: Status,
}
