//! The decision whether to retry a request.

use std::time::Duration;

use cactusnotch_derive::record;
use derive_more::Display;

/// The decision whether to retry a request.
#[record]
#[derive(Copy)]
pub enum Decision {
    /// Retry after this delay.
    Again(Duration),
    /// Give up for this reason, and return the last outcome to the caller.
    GiveUp(Reason),
}

/// Why a request is not retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Reason {
    /// The request may have run and is not idempotent, or its response has started.
    #[display("it may have run and is not idempotent")]
    Unsafe,
    /// The maximum number of attempts is reached.
    #[display("it has been tried as often as is allowed")]
    Attempts,
    /// The remaining time is too short for another attempt.
    #[display("the time left is too short")]
    Deadline,
    /// The retry budget is exhausted.
    #[display("the budget of repeated attempts is used up")]
    Budget,
}
