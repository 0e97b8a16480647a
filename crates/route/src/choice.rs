//! The outcome of the routing decision.

use std::time::Duration;

use cactusnotch_base::clock::Instant;
use cactusnotch_base::name::Endpoint;
use cactusnotch_derive::record;
use derive_more::{Display, Error};

/// The endpoint that a request should go to.
#[record]
pub struct Choice {
    /// The chosen endpoint.
    pub endpoint: Endpoint,
    /// Why it was chosen.
    pub reason: Reason,
    /// The time to the first token that is expected of it.
    pub predicted: Duration,
    /// The part of `predicted` that is spent waiting for a slot.
    pub wait: Duration,
    /// The requests that are believed there, in hundredths of its slots.
    pub utilisation: u32,
    /// How long a request of the service holds its slot.
    pub residence: Duration,
    /// The time to the first token that an endpoint of usual speed would take.
    pub(crate) usual: Duration,
}

/// Why an endpoint was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Reason {
    /// The prompt's prefix is likely in its cache.
    #[display("affinity")]
    Affinity,
    /// It was the least loaded of those drawn in the entry's data centre.
    #[display("load")]
    Load,
    /// Nearer data centres are full.
    #[display("spill")]
    Spill,
    /// All endpoints are full and it should be free first.
    #[display("full")]
    Full,
    /// It had been ejected and is tried again with this request.
    #[display("probe")]
    Probe,
    /// So many endpoints are ejected that ejections are ignored.
    #[display("panic")]
    Panic,
}

/// Why no endpoint could be chosen. The request has not left the entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum Error {
    /// No endpoint that this entry knows offers the service.
    #[display("no endpoint offers the service")]
    Unknown,
    /// The endpoints that offer the service are leaving or unreachable.
    #[display(
        "no endpoint of the service takes work: {leaving} leaving, {unreachable} unreachable"
    )]
    Unavailable {
        /// The endpoints that are leaving.
        leaving: usize,
        /// The endpoints that cannot be reached.
        unreachable: usize,
    },
    /// The endpoints that take work get none from this entry for now.
    #[display("{endpoints} endpoints get no request for now")]
    Withheld {
        /// The endpoints that have not been tried.
        endpoints: usize,
        /// When the first of them may get a request, if that is known.
        first: Option<Instant>,
    },
    /// The request has been tried at every endpoint that takes work.
    #[display("the request has been tried at all {endpoints} endpoints that take work")]
    Exhausted {
        /// The endpoints that take work.
        endpoints: usize,
    },
}
