//! The properties of a request that admission depends on.

use std::time::Duration;

use cactusnotch_base::clock::Instant;
use cactusnotch_base::name::Organisation;

use crate::Priority;

/// The properties of a request that admission depends on.
#[derive(Debug, Clone, Copy)]
pub struct Request<'a> {
    /// The organisation that sent it.
    pub organisation: &'a Organisation,
    /// The weight of the organisation relative to others, at least one.
    pub share: u32,
    /// The priority within the organisation.
    pub priority: Priority,
    /// The expected work relative to an average request.
    pub cost: f64,
    /// When the response must be complete.
    pub deadline: Instant,
    /// The expected run time.
    pub run: Duration,
}
