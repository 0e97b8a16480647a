//! What the planner knows of a group.

use std::time::Duration;

use cactusnotch_derive::message;
use cactusnotch_popularity::Shape;

/// What the planner knows of a group.
#[message]
#[derive(Copy)]
pub struct Options {
    /// The layers and experts of the model.
    pub shape: Shape,
    /// The ranks of the group, live or not.
    pub ranks: u16,
    /// The experts of each layer that a rank has memory for.
    pub slots: usize,
    /// The experts that a rank can load, above its slots, before a switch
    /// frees the memory of those they replace.
    pub staging: usize,
    /// The size of an expert's weights.
    pub bytes: u64,
    /// How long a step takes, about.
    pub step: Duration,
    /// How long a switch to another map holds up the group.
    pub switch: Duration,
    /// The relative distance from the lower bound of a layer's step time at
    /// which the planner looks for no more moves in it.
    pub margin: f64,
    /// The age of the newest report from which on nothing is moved for speed.
    pub stale: Duration,
    /// How many candidate moves a plan may try, which bounds its time.
    pub effort: usize,
    /// How popularity and speed are estimated.
    pub popularity: cactusnotch_popularity::Options,
}

impl Options {
    /// Returns options for a group of `ranks` ranks with `slots` experts of
    /// each layer of `shape`, and usual values for the rest.
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
