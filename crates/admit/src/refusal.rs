//! Why a request was not let in.

use std::time::Duration;

use cactusnotch_base::Outcome;
use cactusnotch_derive::record;
use derive_more::{Display, Error};

/// Why a request was not let in. It has not left the entry.
#[record]
#[derive(Copy, Display, Error)]
#[display("{reason}; retry after {retry_after:?}")]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// After which time another try has prospects, with jitter.
    pub retry_after: Duration,
}

impl Refusal {
    /// Returns what is known of the request: it did not run and never will.
    #[must_use]
    pub const fn outcome(&self) -> Outcome {
        Outcome::NotRun
    }
}

/// The reason of a [`Refusal`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Reason {
    /// The answer would be complete only after the deadline.
    #[display("the answer would come {late:?} after the deadline")]
    Late {
        /// How long after the deadline.
        late: Duration,
    },
    /// Too many requests of the organisation and this priority wait.
    #[display("too many requests of this priority wait")]
    QueueFull,
    /// The queue is full and the organisation holds more than its share of it.
    #[display("the queue is full and the organisation is over its share")]
    OverShare,
    /// The entry is about to stop.
    #[display("the entry is stopping")]
    Stopping,
}
