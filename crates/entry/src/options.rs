//! How an entry runs.

use std::net::SocketAddr;
use std::time::Duration;

use cactusnotch_attempt as attempt;
use cactusnotch_base::name::Region;
use cactusnotch_claim as claim;
use cactusnotch_node as node;
use cactusnotch_route as route;

/// How an entry runs.
#[derive(Debug, Clone)]
pub struct Options {
    /// The address to take callers' connections on.
    pub listen: SocketAddr,
    /// The address to take operators' calls on.
    pub operator_listen: SocketAddr,
    /// The address to take links of peers on.
    pub peer_listen: SocketAddr,
    /// The address that callers are told, if not the one listened on.
    pub advertise: Option<SocketAddr>,
    /// The address that peers are told, if not the one listened on.
    pub peer_advertise: Option<SocketAddr>,
    /// The region of the entry's data centre.
    pub region: Region,
    /// How the entry follows settings and roster, and reaches its peers and
    /// the platform.
    pub node: node::Options,
    /// The routing decision.
    pub route: route::Options,
    /// The times and counts of claims of keys.
    pub claim: claim::Options,
    /// The times that bound a request.
    pub attempt: attempt::Options,
    /// What a first attempt earns, in thousandths of a retry.
    pub retry_fraction: u32,
    /// The most retries that are stored.
    pub retry_store: u32,
    /// The largest body of a caller's request, in bytes.
    pub body_limit: usize,
    /// How long a caller may take to send the head of a request.
    pub head_timeout: Duration,
    /// How long a caller may take to send the body of a request.
    pub receive_timeout: Duration,
    /// The fraction of requests without a trace of their own whose spans are
    /// written.
    pub trace_fraction: f64,
    /// How long a run goes on after its caller went away, if the caller can
    /// come back for the answer.
    pub linger: Duration,
}
