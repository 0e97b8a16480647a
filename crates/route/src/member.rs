//! An endpoint as listed in the roster.

use cactusnotch_base::name::{DataCentre, Endpoint};
use cactusnotch_derive::message;

use crate::{Group, Service};

/// An endpoint as listed in the roster.
#[message]
pub struct Member {
    /// The endpoint's name.
    pub name: Endpoint,
    /// The data centre in which the endpoint runs.
    pub data_centre: DataCentre,
    /// The services that the endpoint offers.
    pub services: Vec<Service>,
    /// The number of requests that it can run concurrently, until a load report
    /// overrides it.
    pub slots: u32,
    /// The declared speed, where 1.0 is average; measured times refine it.
    pub speed: f64,
    /// The group that it belongs to, which may change.
    #[serde(default)]
    pub group: Group,
}
