//! Messages between nodes.

use cactusnotch_base::name::Process;
use cactusnotch_base::number::Sequence;
use cactusnotch_derive::message;
use cactusnotch_member::{Delta, Rumour};
use cactusnotch_objects::object::Version;

use crate::report::{Laggard, Report};
use crate::span::Span;

/// The sender's own state, sent with each ping and pong.
#[message]
pub struct Summary {
    /// The newest revision that the sender holds.
    #[serde(rename = "h")]
    pub held: Sequence,
    /// The version of the sender's roster.
    #[serde(rename = "o")]
    pub roster: Version,
    /// The newest revision that the sender has confirmed to be in force
    /// everywhere.
    #[serde(rename = "f")]
    pub in_force: Sequence,
    /// Whether the sender has caught up since it started.
    #[serde(rename = "c")]
    pub caught_up: bool,
    /// Rumours about other processes.
    #[serde(rename = "r", default, skip_serializing_if = "Vec::is_empty")]
    pub rumours: Vec<Rumour>,
}

/// Checks that a peer responds and requests the report of its subtree.
#[message]
pub struct Ping {
    /// Encodes the time at which the ping was sent.
    #[serde(rename = "t")]
    pub stamp: u64,
    /// The sender's own state.
    #[serde(rename = "s")]
    pub summary: Summary,
    /// How many processes lack the newest revision, and the first of them, as
    /// computed by the head of the data centre; sent to children only.
    #[serde(rename = "l", default, skip_serializing_if = "Option::is_none")]
    pub lacking: Option<(u32, Vec<Laggard>)>,
}

/// Answers a ping; sent again without a ping when the report changes.
#[message]
pub struct Pong {
    /// The stamp of the ping.
    #[serde(rename = "t")]
    pub stamp: u64,
    /// The sender's own state.
    #[serde(rename = "s")]
    pub summary: Summary,
    /// The report of the sender's subtree; for receivers in another data
    /// centre this is the whole data centre.
    #[serde(rename = "e", default, skip_serializing_if = "Option::is_none")]
    pub report: Option<Report>,
}

/// Requests the revisions and roster changes that the sender lacks.
#[message]
pub struct Fetch {
    /// The newest revision that the sender holds.
    #[serde(rename = "h")]
    pub held: Sequence,
    /// The version of the sender's roster.
    #[serde(rename = "o")]
    pub roster: Version,
}

/// A message between nodes.
#[message]
pub enum Message {
    /// Checks that a peer responds and requests the report of its subtree.
    #[serde(rename = "p")]
    Ping(Ping),
    /// Answers a ping.
    #[serde(rename = "q")]
    Pong(Pong),
    /// Carries a revision.
    #[serde(rename = "s")]
    Span(Span),
    /// Carries changes of the roster.
    #[serde(rename = "d")]
    Delta(Delta),
    /// Requests the revisions and roster changes that the sender lacks.
    #[serde(rename = "f")]
    Fetch(Fetch),
    /// Asks the receiver to ping a process that the sender cannot reach.
    #[serde(rename = "r")]
    Relay(Process),
    /// Reports that a process, pinged on the receiver's behalf, has answered.
    #[serde(rename = "h")]
    Reached(Process),
}
