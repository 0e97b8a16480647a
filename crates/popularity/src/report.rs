//! The reports of ranks on the steps that they have run.

use std::time::Duration;

use cactusnotch_base::number::{Incarnation, Sequence, Step};
use cactusnotch_derive::message;

use crate::rank::Rank;
use crate::shape::Cell;
use crate::share::Share;

/// The tokens of one replica over the span of a report.
#[message]
#[derive(Copy, Eq)]
pub struct Count {
    /// The expert.
    pub cell: Cell,
    /// The share of the expert's traffic that the map in force assigned to the
    /// replica.
    pub share: Share,
    /// The number of tokens that the replica processed.
    pub tokens: u32,
}

/// A rank's report on a span of steps that it ran under one map.
#[message]
#[derive(Eq)]
pub struct Report {
    /// The rank.
    pub rank: Rank,
    /// The incarnation of the rank; report numbers restart in each.
    pub incarnation: Incarnation,
    /// The number of the report within the incarnation.
    pub sequence: Sequence,
    /// The first step of the span.
    pub first: Step,
    /// The number of steps in the span.
    pub steps: u32,
    /// How long the rank computed during the span, excluding the time for which
    /// it waited for other ranks.
    pub busy: Duration,
    /// The tokens of each replica that the rank holds.
    pub counts: Vec<Count>,
}

impl Report {
    /// Returns the number of tokens that the rank processed over the span.
    #[must_use]
    pub fn tokens(&self) -> u64 {
        self.counts.iter().map(|c| u64::from(c.tokens)).sum()
    }

    /// Returns the step after the span.
    #[must_use]
    pub fn end(&self) -> Step {
        Step(self.first.0.saturating_add(u64::from(self.steps)))
    }
}
