//! Datagrams as CBOR.

use derive_more::{Display, Error};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// What most datagrams need.
const USUAL: usize = 128;

/// Why a datagram can't be read.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("unreadable datagram: {detail}")]
pub struct Unreadable {
    detail: String,
}

/// Returns the bytes of a datagram.
///
/// # Panics
///
/// Never: writing to memory does not fail.
#[must_use]
pub fn encode(datagram: &impl Serialize) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(USUAL);
    ciborium::into_writer(datagram, &mut bytes).expect("memory takes every write");
    bytes
}

/// Reads a datagram.
///
/// # Errors
///
/// Returns what is wrong with the bytes.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Unreadable> {
    ciborium::from_reader(bytes).map_err(|error| Unreadable {
        detail: error.to_string(),
    })
}
