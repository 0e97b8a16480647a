//! What a cap limits.

use cactusnotch_base::name::Organisation;
use cactusnotch_derive::{identifier, number};
use derive_more::Display;

/// What a cap limits.
#[number]
#[derive(Display)]
#[serde(rename_all = "kebab-case")]
pub enum Unit {
    /// Requests that run at once.
    #[default]
    #[display("concurrency")]
    Concurrency,
    /// Requests that start within a second.
    #[display("rate")]
    Rate,
}

/// The name of a cap.
#[identifier]
#[derive(Display)]
#[display("{organisation}/{unit}")]
pub struct Key {
    /// The organisation whose use is limited.
    pub organisation: Organisation,
    /// What is limited.
    pub unit: Unit,
}
