//! Configuration of an entry.

use std::net::SocketAddr;
use std::time::Duration;

use cactusnotch_attempt as attempt;
use cactusnotch_base::name::Region;
use cactusnotch_claim as claim;
use cactusnotch_node as node;
use cactusnotch_route as route;

/// Configuration of an entry.
#[derive(Debug, Clone)]
pub struct Options {
    /// The address to listen on for callers.
    pub listen: SocketAddr,
    /// The address to listen on for operators.
    pub operator_listen: SocketAddr,
    /// The address to listen on for links of peers.
    pub peer_listen: SocketAddr,
    /// The address announced to callers, if not the one listened on.
    pub advertise: Option<SocketAddr>,
    /// The address announced to peers, if not the one listened on.
    pub peer_advertise: Option<SocketAddr>,
    /// The region of the entry's data centre.
    pub region: Region,
    /// How the entry follows settings and roster, and reaches its peers and
    /// the platform.
    pub node: node::Options,
    /// The routing decision.
    pub route: route::Options,
    /// The timeouts and limits of claims on keys.
    pub claim: claim::Options,
    /// The timeouts of a request.
    pub attempt: attempt::Options,
    /// The retry budget that a first attempt deposits, in thousandths of a retry.
    pub retry_fraction: u32,
    /// The largest retry budget, in retries.
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
    /// How long a run continues after its caller disconnected, if the caller
    /// can resume the answer.
    pub linger: Duration,
}
