//! What a command failed at.

use derive_more::{Display, Error};

/// What a command failed at, and at which step.
#[derive(Debug, Display, Error)]
#[display("{step}: {detail}")]
pub(crate) struct Error {
    step: String,
    detail: String,
}

impl Error {
    /// Creates the error of `step`.
    pub(crate) fn new(step: impl Into<String>, detail: impl std::fmt::Display) -> Self {
        Self {
            step: step.into(),
            detail: detail.to_string(),
        }
    }

    /// Returns a function that makes the errors of `step`.
    pub(crate) fn at<D: std::fmt::Display>(step: &str) -> impl Fn(D) -> Self + '_ {
        move |detail| Self::new(step, detail)
    }
}
