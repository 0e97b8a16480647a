//! The parameters of a group's planner.

use std::time::Duration;

use cactusnotch_derive::message;
use cactusnotch_popularity::Shape;

/// The parameters of a group's planner.
#[message]
#[derive(Copy)]
pub struct Options {
    /// The layers and experts of the model.
    pub shape: Shape,
    /// The number of ranks of the group, live or not.
    pub ranks: u16,
    /// The number of experts per layer that a rank has memory for.
    pub slots: usize,
    /// The number of experts that a rank can load beyond its slots before a
    /// switch frees the memory of those they replace.
    pub staging: usize,
    /// The size of an expert's weights in bytes.
    pub bytes: u64,
    /// The approximate duration of a step.
    pub step: Duration,
    /// How long a switch to another map stalls the group.
    pub switch: Duration,
    /// The relative distance above the lower bound of a layer's step time
    /// within which the planner searches for no further moves.
    pub margin: f64,
    /// The maximum age of the newest report. With older reports, experts are
    /// moved only to restore lost replicas.
    pub stale: Duration,
    /// The maximum number of candidate moves per plan, which bounds its run
    /// time.
    pub effort: usize,
    /// The parameters of the popularity and speed estimates.
    pub popularity: cactusnotch_popularity::Options,
}

impl Options {
    /// Returns options for a group of `ranks` ranks that hold `slots` experts of
    /// each layer of `shape`, with default values for the rest.
    #[must_use]
    pub fn new(shape: Shape, ranks: u16, slots: usize) -> Self {
        Self {
            shape,
            ranks,
            slots,
            staging: 2,
            bytes: 44_000_000,
            step: Duration::from_micros(4_500),
            switch: Duration::from_millis(10),
            margin: 0.02,
            stale: Duration::from_secs(30),
            effort: 8_000,
            popularity: cactusnotch_popularity::Options::default(),
        }
    }
}
