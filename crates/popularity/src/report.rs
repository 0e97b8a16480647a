//! What a rank reports of the steps it has taken.

use std::time::Duration;

use cactusnotch_base::number::{Incarnation, Sequence, Step};
use cactusnotch_derive::message;

use crate::rank::Rank;
use crate::shape::Cell;
use crate::share::Share;

/// The tokens that one replica was given over the span of a report.
#[message]
#[derive(Copy, Eq)]
pub struct Count {
    /// The expert.
    pub cell: Cell,
    /// The part of the expert's traffic that the map in force gave the replica.
    pub share: Share,
    /// The tokens that the replica was given.
    pub tokens: u32,
}

/// What a rank reports of a span of steps that it took under one map.
#[message]
#[derive(Eq)]
pub struct Report {
    /// The rank.
    pub rank: Rank,
    /// The life of the rank; numbers start anew in each.
    pub incarnation: Incarnation,
    /// The number of the report within the life of the rank.
    pub sequence: Sequence,
    /// The first step of the span.
    pub first: Step,
    /// The steps in the span.
    pub steps: u32,
    /// How long the rank computed during the span, without the time that it
    /// waited for other ranks.
    pub busy: Duration,
    /// The tokens of each replica that the rank holds.
    pub counts: Vec<Count>,
}

impl Report {
    /// Returns the tokens that the rank was given over the span.
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
