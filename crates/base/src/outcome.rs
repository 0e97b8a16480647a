//! The outcome of a request without a complete answer.

use cactusnotch_derive::{identifier, number};
use derive_more::Display;

/// The outcome of a request without a complete answer.
#[number]
#[derive(Display)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The request provably did not run and never will.
    #[display("not-run")]
    NotRun,
    /// The request may have run, in part or completely.
    #[default]
    #[display("unknown")]
    Unknown,
}

/// A request's identity across retries, entries and endpoints.
#[identifier]
#[derive(Display)]
#[serde(transparent)]
pub struct Key(String);

impl Key {
    /// Creates the key from its text.
    pub fn new(text: impl Into<String>) -> Self {
        Self(text.into())
    }

    /// Returns the key as text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}
