//! Configuration of the routing decision.

use std::time::Duration;

use cactusnotch_base::name::DataCentre;

/// Configuration of the routing decision of one entry.
#[derive(Debug, Clone, PartialEq)]
pub struct Options {
    /// The data centres in order of distance, the entry's own first. Those
    /// that are not listed count as farthest.
    pub nearest: Vec<DataCentre>,
    /// How many endpoints are drawn at random and compared for a request.
    pub choices: usize,
    /// The fraction of its slots from which an endpoint counts as full.
    pub full: f64,
    /// The longest time after which half of a load report's weight is gone;
    /// measured turnover shortens it.
    pub report_half_life: Duration,
    /// The time without a report after which an endpoint that has reported before is
    /// left to itself while others take work, if there is one.
    pub report_timeout: Option<Duration>,
    /// The time after which half of a measured slowness is forgotten.
    pub slowness_half_life: Duration,
    /// How many times as loaded as the mean a preferred endpoint may be.
    pub affinity_bound: f64,
    /// The fraction of its slots up to which a preferred endpoint is taken
    /// whatever the mean.
    pub affinity_floor: f64,
    /// How many endpoints of a prefix's preference order are tried; zero
    /// turns affinity off.
    pub affinity_width: usize,
    /// How many blocks of a prompt name its prefix.
    pub affinity_blocks: usize,
    /// The time to a first token on an idle endpoint, without the prompt.
    pub base_time: Duration,
    /// The time to process one token of a prompt.
    pub token_time: Duration,
    /// How long a request holds its slot, until that has been measured.
    pub residence: Duration,
    /// The cost of each rank of distance.
    pub hop_time: Duration,
    /// How many failures in a row eject an endpoint.
    pub failures: u32,
    /// How long the first ejection lasts; each further one lasts twice as
    /// long.
    pub ejection: Duration,
    /// The longest ejection.
    pub ejection_max: Duration,
    /// The fraction of a service's endpoints that may stay ejected; beyond
    /// it ejections are ignored, since the fault is then rather ours.
    pub ejected_max: f64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            nearest: Vec::new(),
            choices: 4,
            full: 1.0,
            report_half_life: Duration::from_secs(2),
            report_timeout: None,
            slowness_half_life: Duration::from_secs(10),
            affinity_bound: 1.25,
            affinity_floor: 0.5,
            affinity_width: 3,
            affinity_blocks: 4,
            base_time: Duration::from_millis(10),
            token_time: Duration::from_micros(50),
            residence: Duration::from_secs(1),
            hop_time: Duration::from_millis(2),
            failures: 3,
            ejection: Duration::from_secs(1),
            ejection_max: Duration::from_secs(30),
            ejected_max: 0.5,
        }
    }
}
