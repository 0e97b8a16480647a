//! What an exchange is told.

use cactusnotch_base::clock::Instant;
use cactusnotch_base::name::Endpoint;
use cactusnotch_claim as claim;
use cactusnotch_ledger::{Attempt, Reply, Terms};

/// What an exchange is told.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Event {
    /// The answer to [`Command::Route`](crate::Command::Route).
    Routed {
        /// The endpoint, its agent's incarnation and last known age.
        terms: Terms,
        /// When the agent stated that age.
        reported_at: Instant,
        /// A fresh random name for the attempt.
        attempt: Attempt,
    },
    /// No endpoint takes the request.
    Unroutable,
    /// The answer to [`Command::Claim`](crate::Command::Claim).
    Claimed {
        /// The attempt that the claim named.
        attempt: Attempt,
        /// The answer.
        answer: claim::Answer,
    },
    /// The run of this attempt was not sent and never will be, since there is
    /// no connection to the agent or the agent is another incarnation.
    Unsent(Attempt),
    /// An agent replied.
    Reply(Reply),
    /// The connection to an endpoint's agent is gone, which the driver notices
    /// by pings if it is half open.
    LinkLost(Endpoint),
    /// The time that [`Exchange::wake`](crate::Exchange::wake) told has come.
    Timer,
    /// The caller went away.
    CallerGone,
}
