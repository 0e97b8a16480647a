//! An agent's announcement of its endpoint's state and load.

use cactusnotch_base::name::Endpoint;
use cactusnotch_base::number::Incarnation;
use cactusnotch_derive::message;
use cactusnotch_ledger::Age;

/// An agent's announcement of its endpoint's state and load. Sent when a link
/// opens, at an interval, and when the agent starts to drain.
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
    /// Whether the agent refuses new work because it is leaving.
    #[serde(rename = "d")]
    pub draining: bool,
    /// For how many milliseconds the endpoint accepts no new work, if it accepts none.
    #[serde(rename = "w", default)]
    pub withheld: Option<u32>,
    /// The number of requests that the endpoint can run at once.
    #[serde(rename = "s")]
    pub slots: u32,
    /// The number of running and queued requests.
    #[serde(rename = "r")]
    pub requests: u32,
    /// The number of `requests` received over this link.
    #[serde(rename = "m")]
    pub mine: u32,
    /// The number of entries that have a link to the agent.
    pub entries: u32,
}
