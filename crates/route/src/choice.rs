//! The result of a routing decision.

use std::time::Duration;

use cactusnotch_base::clock::Instant;
use cactusnotch_base::name::Endpoint;
use cactusnotch_derive::record;
use derive_more::{Display, Error};

/// The endpoint selected for a request.
#[record]
pub struct Choice {
    /// The chosen endpoint.
    pub endpoint: Endpoint,
    /// The reason for the choice.
    pub reason: Reason,
    /// The predicted time to the first token.
    pub predicted: Duration,
    /// The part of `predicted` that is spent waiting for a slot.
    pub wait: Duration,
    /// The estimated number of requests on the endpoint, in percent of its slots.
    pub utilisation: u32,
    /// The mean time that a request of the service occupies a slot.
    pub service_time: Duration,
    /// The predicted time to the first token on an endpoint of average speed.
    pub(crate) baseline: Duration,
}

/// Why an endpoint was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Reason {
    /// The endpoint's cache is likely to contain the prompt's prefix.
    #[display("affinity")]
    Affinity,
    /// It had the lowest cost of the endpoints sampled in the nearest data centre.
    #[display("load")]
    Load,
    /// All endpoints in nearer data centres are full.
    #[display("spill")]
    Spill,
    /// All endpoints are full and this one is predicted to have a free slot first.
    #[display("full")]
    Full,
    /// The endpoint was ejected and this request probes it.
    #[display("probe")]
    Probe,
    /// Too many endpoints are ejected, so ejections are ignored.
    #[display("panic")]
    Panic,
}

/// Why no endpoint was selected. The request has not left the entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum Error {
    /// No endpoint in this entry's roster offers the service.
    #[display("no endpoint offers the service")]
    Unknown,
    /// All endpoints that offer the service are leaving or unreachable.
    #[display(
        "no endpoint of the service takes work: {leaving} leaving, {unreachable} unreachable"
    )]
    Unavailable {
        /// The number of leaving endpoints.
        leaving: usize,
        /// The number of unreachable endpoints.
        unreachable: usize,
    },
    /// This entry currently withholds requests from the serving endpoints.
    #[display("{endpoints} endpoints get no request for now")]
    Withheld {
        /// The number of withheld endpoints without an attempt of this request.
        endpoints: usize,
        /// The earliest time at which one of them may receive a request, if known.
        first: Option<Instant>,
    },
    /// The request has been attempted on every serving endpoint.
    #[display("the request has been tried at all {endpoints} endpoints that take work")]
    Exhausted {
        /// The number of serving endpoints.
        endpoints: usize,
    },
}
