//! The timing parameters of the agreement.

use std::time::Duration;

use cactusnotch_derive::record;

/// The timing parameters of the agreement.
#[record]
#[derive(Copy, Hash)]
pub struct Options {
    /// The options for orders to the rank's engine.
    pub orders: cactusnotch_order::Options,
    /// How long to wait for an answer of a peer or of the platform before a
    /// retry.
    pub retry: Duration,
    /// The interval at which an idle agent reads the state of its engine.
    pub poll: Duration,
    /// The duration of a coordinator's lease without renewal.
    pub lease: Duration,
    /// How long a coordinator waits for the ranks to load weights before it
    /// abandons the switch.
    pub prepare: Duration,
    /// The distance in steps from the furthest rank to the hold step of a
    /// proposal. It must cover a proposal, a vote and an outcome.
    pub lead: u64,
    /// The number of times that a coordinator repeats a proposal before it
    /// queries the ranks that have not voted, which makes them veto.
    pub repeats: u32,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            orders: cactusnotch_order::Options::default(),
            retry: Duration::from_millis(20),
            poll: Duration::from_secs(1),
            lease: Duration::from_secs(10),
            prepare: Duration::from_mins(2),
            lead: 30,
            repeats: 3,
        }
    }
}
