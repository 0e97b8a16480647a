//! The admission decision's view of a request.

use std::time::Duration;

use cactusnotch_base::clock::Instant;
use cactusnotch_base::name::Organisation;

use crate::Priority;

/// The admission decision's view of a request.
#[derive(Debug, Clone, Copy)]
pub struct Request<'a> {
    /// The organisation that sent it.
    pub organisation: &'a Organisation,
    /// The organisation's share against the others, at least one.
    pub share: u32,
    /// The rank within the organisation.
    pub priority: Priority,
    /// The work it takes, in units of the usual request.
    pub cost: f64,
    /// When the answer has to be complete.
    pub deadline: Instant,
    /// How long it should take once it runs.
    pub run: Duration,
}
