//! The settings of an entry's process.

use std::net::SocketAddr;
use std::time::Duration;

use cactusnotch_throttle::Tolerance;

use crate::regions::Regions;

/// Settings that an entry gets from its host, not from the operators' tree.
#[derive(Debug, Clone, PartialEq)]
pub struct Options {
    /// The name of the host.
    pub host: String,
    /// The data centre of the host.
    pub data_centre: String,
    /// The regions of all data centres.
    pub regions: Regions,
    /// Where callers connect.
    pub listen: SocketAddr,
    /// Where it is asked whether it is ready.
    pub readiness: SocketAddr,
    /// Where callers ask which entries to use.
    pub resolver: SocketAddr,
    /// Where entries and agents send each other datagrams.
    pub peers: SocketAddr,
    /// Where metrics are scraped.
    pub metrics: SocketAddr,
    /// The port on which the agents of endpoints take datagrams.
    pub agent_port: u16,
    /// Where the platform's store is.
    pub store: SocketAddr,
    /// The longest time for which a taken-away key may still work; `None` if
    /// that isn't bounded.
    pub revocation_bound: Option<Duration>,
    /// The memory of the host, in bytes.
    pub memory: u64,
    /// The time within which an endpoint that leaves has to be known.
    pub leaving_bound: Duration,
    /// The time within which a data centre that operators evacuate gets nothing more; `None`
    /// if they evacuate none.
    pub evacuation_bound: Option<Duration>,
    /// What an endpoint bears while it is cold, beyond the rate that operators state.
    pub warm_up: Tolerance,
    /// The time that a stop may take.
    pub grace: Duration,
    /// Repeated sends allowed for each request.
    pub retry_ratio: f64,
    /// Repeated sends allowed for a service in a window beyond the ratio, over
    /// all entries.
    pub retry_slack: u32,
    /// The span over which repeated sends are counted.
    pub retry_window: Duration,
    /// The longest time that callers keep a list of addresses.
    pub address_ttl_max: Duration,
}
