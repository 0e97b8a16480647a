//! An agent's statement of its endpoint's condition.

use cactusnotch_base::name::Endpoint;
use cactusnotch_base::number::Incarnation;
use cactusnotch_derive::message;
use cactusnotch_ledger::Age;

/// An agent's statement of its endpoint's condition, sent when a link opens,
/// at an interval, and when the agent begins to drain.
#[message]
#[derive(Eq)]
pub struct Announcement {
    /// The endpoint.
    #[serde(rename = "e")]
    pub endpoint: Endpoint,
    /// The incarnation of the agent.
    #[serde(rename = "i")]
    pub incarnation: Incarnation,
    /// The age of the agent.
    #[serde(rename = "a")]
    pub age: Age,
    /// Whether the agent refuses new work since it is leaving.
    #[serde(rename = "d")]
    pub draining: bool,
    /// For how many milliseconds the endpoint takes no new work, if it takes none.
    #[serde(rename = "w", default)]
    pub withheld: Option<u32>,
    /// The requests that the endpoint can run at once.
    #[serde(rename = "s")]
    pub slots: u32,
    /// The requests that run or wait.
    #[serde(rename = "r")]
    pub requests: u32,
    /// The part of `requests` that came by this link.
    #[serde(rename = "m")]
    pub mine: u32,
    /// The entries that have a link to the agent.
    pub entries: u32,
}
