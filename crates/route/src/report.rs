//! An endpoint's load report.

use std::time::Duration;

use cactusnotch_derive::message;

use crate::{Load, State};

/// An endpoint's load report, which may be outdated on arrival.
#[message]
pub struct Report {
    /// Whether the endpoint accepts new requests.
    pub state: State,
    /// The number of requests that the endpoint can run concurrently.
    pub slots: u32,
    /// The endpoint's total load.
    pub total: Load,
    /// The number of requests by which the load counts as higher when endpoints of several
    /// groups are compared.
    #[serde(default)]
    pub surcharge: u32,
    /// The part of `total` sent by the entry that receives the report; `None` if
    /// unknown to the reporter.
    pub mine: Option<Load>,
    /// The number of entries that send requests to the endpoint.
    pub sharers: u32,
    /// The age of the report, as measured by the processes that sent it.
    pub age: Duration,
}
