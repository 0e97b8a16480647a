//! The quantities that a cap limits.

use cactusnotch_base::name::Organisation;
use cactusnotch_derive::{identifier, number};
use derive_more::Display;

/// The quantity that a cap limits.
#[number]
#[derive(Display)]
#[serde(rename_all = "kebab-case")]
pub enum Unit {
    /// Requests that run concurrently.
    #[default]
    #[display("concurrency")]
    Concurrency,
    /// Requests that start within a second.
    #[display("rate")]
    Rate,
}

/// The key of a cap.
#[identifier]
#[derive(Display)]
#[display("{organisation}/{unit}")]
pub struct Key {
    /// The organisation whose use is limited.
    pub organisation: Organisation,
    /// The limited quantity.
    pub unit: Unit,
}
