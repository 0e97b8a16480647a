//! The requests of a group, as an entry knows them.

use std::time::Duration;

/// The requests and slots of a group at the endpoints that an entry uses.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Occupancy {
    /// The requests of this entry.
    pub own: u32,
    /// The requests of other entries, as last reported.
    pub others: u32,
    /// The number of requests that the endpoints can run at once.
    pub slots: u32,
    /// The number of entries that use each endpoint, with this one.
    pub sharers: u32,
    /// The mean age of the reports.
    pub age: Duration,
}
