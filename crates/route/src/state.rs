//! Whether an endpoint takes new work.

use cactusnotch_derive::number;
use derive_more::Display;

/// Whether an endpoint takes new work.
#[number]
#[derive(Display)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// The endpoint takes new work.
    #[display("serving")]
    Serving,
    /// The endpoint finishes what it has and takes no new work.
    #[display("leaving")]
    Leaving,
    /// The entry has no link to the endpoint.
    #[default]
    #[display("unreachable")]
    Unreachable,
}
