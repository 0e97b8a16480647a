//! An endpoint as the roster names it.

use cactusnotch_base::name::{DataCentre, Endpoint};
use cactusnotch_derive::message;

use crate::Service;

/// An endpoint as the roster names it.
#[message]
pub struct Member {
    /// The endpoint's name.
    pub name: Endpoint,
    /// The data centre that it stands in.
    pub data_centre: DataCentre,
    /// What it serves.
    pub services: Vec<Service>,
    /// The requests that it can run at once, until a report says otherwise.
    pub slots: u32,
    /// Its declared speed, where one is usual; measured times refine it.
    pub speed: f64,
}
