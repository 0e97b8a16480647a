//! A change of a group's limit, with the inputs that determined it.

use std::time::Duration;

use crate::Ceiling;

/// A change of a group's limit by 5% or more, with the inputs that determined it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Change {
    /// The new limit.
    pub limit: Ceiling,
    /// The skew that the limit allows for.
    pub skew: f64,
    /// The overhead of passes beyond the model, in seconds for the square root of the number
    /// of requests.
    pub overhead: f64,
    /// The last measured pass and its age, if there was one.
    pub pass: Option<(Duration, Duration)>,
    /// The mean number of requests for each slot.
    pub fill: f64,
}
