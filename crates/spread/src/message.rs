//! What nodes tell one another.

use cactusnotch_base::name::Process;
use cactusnotch_base::number::Sequence;
use cactusnotch_derive::message;
use cactusnotch_member::{Delta, Rumour};
use cactusnotch_objects::object::Version;

use crate::report::{Laggard, Report};
use crate::span::Span;

/// What a node tells of itself with each ping and pong.
#[message]
pub struct Summary {
    /// The newest revision that it holds.
    #[serde(rename = "h")]
    pub held: Sequence,
    /// The version of its roster.
    #[serde(rename = "o")]
    pub roster: Version,
    /// The newest revision that it knows to be in force everywhere.
    #[serde(rename = "f")]
    pub in_force: Sequence,
    /// Whether it has caught up in this life.
    #[serde(rename = "c")]
    pub caught_up: bool,
    /// What it tells of others.
    #[serde(rename = "r", default, skip_serializing_if = "Vec::is_empty")]
    pub rumours: Vec<Rumour>,
}

/// Asks a peer whether it is there and what its subtree holds.
#[message]
pub struct Ping {
    /// Stands for the instant at which the sender asked.
    #[serde(rename = "t")]
    pub stamp: u64,
    /// What the sender tells of itself.
    #[serde(rename = "s")]
    pub summary: Summary,
    /// How many processes lack the newest revision, and the first of them, as
    /// the head of the data centre sees it; for children only.
    #[serde(rename = "l", default, skip_serializing_if = "Option::is_none")]
    pub lacking: Option<(u32, Vec<Laggard>)>,
}

/// Answers a ping; sent again unasked when the report changes.
#[message]
pub struct Pong {
    /// The stamp of the ping.
    #[serde(rename = "t")]
    pub stamp: u64,
    /// What the sender tells of itself.
    #[serde(rename = "s")]
    pub summary: Summary,
    /// What the sender's subtree holds; of its whole data centre towards
    /// another one.
    #[serde(rename = "e", default, skip_serializing_if = "Option::is_none")]
    pub report: Option<Report>,
}

/// Asks for what the sender lacks.
#[message]
pub struct Fetch {
    /// The newest revision that the sender holds.
    #[serde(rename = "h")]
    pub held: Sequence,
    /// The version of the sender's roster.
    #[serde(rename = "o")]
    pub roster: Version,
}

/// What nodes tell one another.
#[message]
pub enum Message {
    /// Asks whether a peer is there and what its subtree holds.
    #[serde(rename = "p")]
    Ping(Ping),
    /// Answers a ping.
    #[serde(rename = "q")]
    Pong(Pong),
    /// Brings a revision.
    #[serde(rename = "s")]
    Span(Span),
    /// Brings changes of the roster.
    #[serde(rename = "d")]
    Delta(Delta),
    /// Asks for what the sender lacks.
    #[serde(rename = "f")]
    Fetch(Fetch),
    /// Asks to ping a process that the sender cannot reach.
    #[serde(rename = "r")]
    Relay(Process),
    /// Tells that a process was heard on the receiver's behalf.
    #[serde(rename = "h")]
    Reached(Process),
}
