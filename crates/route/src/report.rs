//! An endpoint's statement of its load.

use std::time::Duration;

use cactusnotch_derive::message;

use crate::{Load, State};

/// An endpoint's statement of its load, which may be old when it arrives.
#[message]
pub struct Report {
    /// Whether the endpoint takes new work.
    pub state: State,
    /// The requests that the endpoint can run at once.
    pub slots: u32,
    /// Everything that the endpoint holds.
    pub total: Load,
    /// The part of `total` that came from the entry which gets the report;
    /// `None` if the sender does not know.
    pub mine: Option<Load>,
    /// The entries that send it requests.
    pub sharers: u32,
    /// How old the statement is, as far as its senders measured that.
    pub age: Duration,
}
