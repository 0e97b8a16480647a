//! Configuration of an agent.

use std::net::SocketAddr;
use std::time::Duration;

use cactusnotch_base::name::{Endpoint, Region};
use cactusnotch_ledger as ledger;
use cactusnotch_node as node;

use crate::Profile;

/// Configuration of an agent.
#[derive(Debug, Clone)]
pub struct Options {
    /// The address to listen on for links; port 0 selects any free port.
    pub listen: SocketAddr,
    /// The address announced to peers, if not the one listened on.
    pub advertise: Option<SocketAddr>,
    /// The region of the agent's data centre.
    pub region: Region,
    /// How the agent follows settings and roster, and reaches its peers and
    /// the platform.
    pub node: node::Options,
    /// The endpoint that the agent serves.
    pub endpoint: Endpoint,
    /// The base address of the endpoint, such as `http://127.0.0.1:8000`.
    pub engine: String,
    /// The number of requests that the endpoint can run at once.
    pub slots: u32,
    /// The limits of the ledger.
    pub ledger: ledger::Options,
    /// The profile of the rank, if the endpoint is a rank of a group.
    pub rank: Option<Profile>,
    /// The interval at which the agent announces its endpoint's state to entries.
    pub announce_interval: Duration,
}
