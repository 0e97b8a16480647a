//! The events that drive an exchange.

use cactusnotch_base::clock::Instant;
use cactusnotch_base::name::Endpoint;
use cactusnotch_claim as claim;
use cactusnotch_ledger::{Attempt, Reply, Terms};

/// An event that drives an exchange.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Event {
    /// The answer to [`Command::Route`](crate::Command::Route).
    Routed {
        /// The endpoint, with its agent's incarnation and last reported age.
        terms: Terms,
        /// When the agent reported that age.
        reported_at: Instant,
        /// A new random identifier for the attempt.
        attempt: Attempt,
    },
    /// No endpoint accepts the request.
    Unroutable,
    /// The answer to [`Command::Claim`](crate::Command::Claim).
    Claimed {
        /// The attempt named in the claim.
        attempt: Attempt,
        /// The answer.
        answer: claim::Answer,
    },
    /// The run of this attempt was not sent and never will be, because there is
    /// no connection to the agent or its incarnation has changed.
    Unsent(Attempt),
    /// An agent replied.
    Reply(Reply),
    /// The connection to an endpoint's agent is lost. The driver detects
    /// half-open connections by pings.
    LinkLost(Endpoint),
    /// The time returned by [`Exchange::wake`](crate::Exchange::wake) is reached.
    Timer,
    /// The caller disconnected.
    CallerGone,
}
