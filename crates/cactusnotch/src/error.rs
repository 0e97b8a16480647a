//! The error of a command.

use derive_more::{Display, Error};

/// A failure of a command and the step at which it occurred.
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

    /// Returns a function that creates errors of `step`.
    pub(crate) fn at<D: std::fmt::Display>(step: &str) -> impl Fn(D) -> Self + '_ {
        move |detail| Self::new(step, detail)
    }
}
