//! The settings of an entry's process.

use std::net::SocketAddr;
use std::time::Duration;

use cactusnotch_throttle::Tolerance;

use crate::regions::Regions;

/// Settings of an entry that come from its host, not from the operators' configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct Options {
    /// The name of the host.
    pub host: String,
    /// The data centre of the host.
    pub data_centre: String,
    /// The regions of all data centres.
    pub regions: Regions,
    /// The address for callers' requests.
    pub listen: SocketAddr,
    /// The address for readiness queries.
    pub readiness: SocketAddr,
    /// The address for queries of entry addresses.
    pub resolver: SocketAddr,
    /// The address for datagrams between entries and agents.
    pub peers: SocketAddr,
    /// The address that serves metrics.
    pub metrics: SocketAddr,
    /// The port on which the endpoints' agents receive datagrams.
    pub agent_port: u16,
    /// The address of the platform's store.
    pub store: SocketAddr,
    /// The longest time for which a revoked key may still be accepted; `None` for no bound.
    pub revocation_bound: Option<Duration>,
    /// The memory of the host, in bytes.
    pub memory: u64,
    /// The time within which entries must have received the notice of a leaving endpoint.
    pub leaving_bound: Duration,
    /// The time within which traffic to an evacuated data centre must stop; `None` if
    /// evacuations are not used.
    pub evacuation_bound: Option<Duration>,
    /// How far an endpoint that is warming up may exceed the configured rate.
    pub warm_up: Tolerance,
    /// The grace period of a stop.
    pub grace: Duration,
    /// The retries allowed for each request.
    pub retry_ratio: f64,
    /// The retries allowed for a service in a window beyond the ratio, over all entries.
    pub retry_slack: u32,
    /// The longest time for which callers cache a list of addresses.
    pub address_ttl_max: Duration,
    /// The settings of overload control.
    pub overload: cactusnotch_overload::Options,
}
