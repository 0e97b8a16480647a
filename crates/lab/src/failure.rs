//! What went wrong in a trial.

use derive_more::{Display, Error};

/// What went wrong in a trial, and at which step.
#[derive(Debug, Display, Error)]
#[display("{step}: {detail}")]
pub struct Failure {
    step: String,
    detail: String,
}

impl Failure {
    /// Creates the failure of `step`.
    pub fn new(step: impl Into<String>, detail: impl std::fmt::Display) -> Self {
        Self {
            step: step.into(),
            detail: detail.to_string(),
        }
    }

    /// Returns a function that makes the failures of `step`.
    pub fn at<D: std::fmt::Display>(step: &str) -> impl Fn(D) -> Self + '_ {
        move |detail| Self::new(step, detail)
    }
}
