//! The refusal of a request.

use std::time::Duration;

use cactusnotch_base::Outcome;
use cactusnotch_derive::record;
use derive_more::{Display, Error};

/// The refusal of a request, which has not left the entry.
#[record]
#[derive(Copy, Display, Error)]
#[display("{reason}; retry after {retry_after:?}")]
pub struct Refusal {
    /// The reason.
    pub reason: Reason,
    /// The time after which a retry may succeed, with jitter.
    pub retry_after: Duration,
}

impl Refusal {
    /// Returns the outcome of the request: it has not run and never will.
    #[must_use]
    pub const fn outcome(&self) -> Outcome {
        Outcome::NotRun
    }
}

/// The reason of a [`Refusal`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Reason {
    /// The response would be complete only after the deadline.
    #[display("the answer would come {late:?} after the deadline")]
    Late {
        /// By how much the deadline would be missed.
        late: Duration,
    },
    /// Too many requests of the organisation and priority are waiting.
    #[display("too many requests of this priority wait")]
    QueueFull,
    /// The queue is full and the organisation occupies more than its share of it.
    #[display("the queue is full and the organisation is over its share")]
    OverShare,
    /// The entry is shutting down.
    #[display("the entry is stopping")]
    Stopping,
}
