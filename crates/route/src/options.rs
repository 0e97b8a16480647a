//! Configuration of routing.

use std::time::Duration;

use cactusnotch_base::name::DataCentre;

/// Configuration of one entry's router.
#[derive(Debug, Clone, PartialEq)]
pub struct Options {
    /// The data centres in order of distance, the entry's own first.
    /// Unlisted data centres count as farthest.
    pub nearest: Vec<DataCentre>,
    /// How many endpoints are sampled at random and compared per request.
    pub sample_size: usize,
    /// The fraction of occupied slots from which an endpoint counts as full.
    pub full: f64,
    /// The upper limit of the half-life of a load report's weight; the measured
    /// turnover of requests shortens it.
    pub report_half_life: Duration,
    /// The age of the last load report from which an endpoint is avoided while others
    /// accept requests; `None` disables this. Endpoints that never reported are exempt.
    pub report_timeout: Option<Duration>,
    /// The half-life of a measured slowness.
    pub slowness_half_life: Duration,
    /// The number of requests for each endpoint after which a measured slowness has lost half of
    /// its weight.
    pub slowness_half_requests: u32,
    /// The load up to which a preferred endpoint is chosen, as a multiple of the mean.
    pub affinity_bound: f64,
    /// The fraction of occupied slots up to which a preferred endpoint is chosen
    /// regardless of the mean.
    pub affinity_floor: f64,
    /// How many endpoints in a prefix's preference order are considered; zero
    /// disables affinity.
    pub affinity_width: usize,
    /// How many leading blocks of a prompt identify its prefix.
    pub affinity_blocks: usize,
    /// The time to the first token on an idle endpoint, excluding prompt processing.
    pub base_time: Duration,
    /// The time to process one prompt token.
    pub token_time: Duration,
    /// The assumed time that a request occupies a slot, until it has been measured.
    pub service_time: Duration,
    /// The cost per step of distance in `nearest`.
    pub hop_time: Duration,
    /// How many consecutive failures eject an endpoint.
    pub failures: u32,
    /// The length of the first ejection; each further one lasts twice as
    /// long.
    pub ejection: Duration,
    /// The longest ejection.
    pub ejection_max: Duration,
    /// The maximum fraction of a service's endpoints that may be ejected. Beyond
    /// it, ejections are ignored, since the fault is then more likely on the
    /// entry's side.
    pub ejected_max: f64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            nearest: Vec::new(),
            sample_size: 4,
            full: 1.0,
            report_half_life: Duration::from_secs(2),
            report_timeout: None,
            slowness_half_life: Duration::from_secs(10),
            slowness_half_requests: 16,
            affinity_bound: 1.25,
            affinity_floor: 0.5,
            affinity_width: 3,
            affinity_blocks: 4,
            base_time: Duration::from_millis(10),
            token_time: Duration::from_micros(50),
            service_time: Duration::from_secs(1),
            hop_time: Duration::from_millis(2),
            failures: 3,
            ejection: Duration::from_secs(1),
            ejection_max: Duration::from_secs(30),
            ejected_max: 0.5,
        }
    }
}
