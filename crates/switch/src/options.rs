//! Times and margins of the agreement.

use std::time::Duration;

use cactusnotch_derive::record;

/// Times and margins of the agreement.
#[record]
#[derive(Copy, Hash)]
pub struct Options {
    /// How the rank's engine is to be ordered.
    pub orders: cactusnotch_order::Options,
    /// How long an answer of a peer or of the platform is awaited.
    pub retry: Duration,
    /// How often an agent with nothing to do reads its engine.
    pub poll: Duration,
    /// How long a coordinator's lease lasts without renewal.
    pub lease: Duration,
    /// How long a coordinator waits for the ranks to load weights.
    pub prepare: Duration,
    /// How many steps ahead of the furthest rank a proposal sets its hold
    /// step: enough for a proposal, a vote and an outcome.
    pub lead: u64,
    /// How often a coordinator repeats a proposal before it asks the ranks
    /// that have not voted for the outcome, which makes them veto.
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
