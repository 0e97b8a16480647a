//! Whether a request is tried again.

use std::time::Duration;

use cactusnotch_derive::record;
use derive_more::Display;

/// Whether a request is tried again.
#[record]
#[derive(Copy)]
pub enum Decision {
    /// Try again after this time.
    Again(Duration),
    /// Give up for this reason, and tell the caller the last outcome.
    GiveUp(Reason),
}

/// Why a request is not tried again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Reason {
    /// It may have run and is not idempotent.
    #[display("it may have run and is not idempotent")]
    Unsafe,
    /// It has been tried as often as is allowed.
    #[display("it has been tried as often as is allowed")]
    Attempts,
    /// The time left is too short for another attempt.
    #[display("the time left is too short")]
    Deadline,
    /// Repeated attempts have used up their budget.
    #[display("the budget of repeated attempts is used up")]
    Budget,
}
