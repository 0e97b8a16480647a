//! How an agent runs.

use std::net::SocketAddr;
use std::time::Duration;

use cactusnotch_base::name::{Endpoint, Region};
use cactusnotch_ledger as ledger;
use cactusnotch_node as node;

use crate::Rank;

/// How an agent runs.
#[derive(Debug, Clone)]
pub struct Options {
    /// The address to take links on; port 0 takes any free one.
    pub listen: SocketAddr,
    /// The address that peers are told, if not the one listened on.
    pub advertise: Option<SocketAddr>,
    /// The region of the agent's data centre.
    pub region: Region,
    /// How the agent follows settings and roster, and reaches its peers and
    /// the platform.
    pub node: node::Options,
    /// The endpoint that the agent stands beside.
    pub endpoint: Endpoint,
    /// The base address of the endpoint, such as `http://127.0.0.1:8000`.
    pub engine: String,
    /// The requests that the endpoint can run at once.
    pub slots: u32,
    /// The bounds of the ledger.
    pub ledger: ledger::Options,
    /// How the rank is looked after, if the endpoint is one of a group.
    pub rank: Option<Rank>,
    /// How often the agent tells entries its endpoint's condition.
    pub announce_interval: Duration,
}
