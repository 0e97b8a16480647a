//! What admission needs to know of a service's endpoints.

use std::time::Duration;

use cactusnotch_derive::record;

/// What admission needs to know of a service's endpoints.
#[record]
#[derive(Copy, Default)]
pub struct Outlook {
    /// The requests that this entry may start now: its part of the free
    /// slots, by its part of the requests that run, and at least one of them.
    pub room: u32,
    /// How long a request holds its slot.
    pub residence: Duration,
}
