//! Whether an endpoint accepts new requests.

use cactusnotch_derive::number;
use derive_more::Display;

/// Whether an endpoint accepts new requests.
#[number]
#[derive(Display)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// The endpoint accepts new requests.
    #[display("serving")]
    Serving,
    /// The endpoint completes its current requests and accepts no new ones.
    #[display("leaving")]
    Leaving,
    /// The entry has no link to the endpoint.
    #[default]
    #[display("unreachable")]
    Unreachable,
}
