//! Encoding of datagrams as CBOR.

use derive_more::{Display, Error};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Initial buffer size in bytes, enough for most datagrams.
const USUAL: usize = 128;

/// A datagram that can't be decoded.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("unreadable datagram: {detail}")]
pub struct Unreadable {
    detail: String,
}

/// Encodes a datagram.
///
/// # Panics
///
/// Never: writing to memory does not fail.
#[must_use]
pub fn encode(datagram: &impl Serialize) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(USUAL);
    ciborium::into_writer(datagram, &mut bytes).expect("writing to memory does not fail");
    bytes
}

/// Decodes a datagram.
///
/// # Errors
///
/// Returns the decoder's message if the bytes are not a valid datagram.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Unreadable> {
    ciborium::from_reader(bytes).map_err(|error| Unreadable {
        detail: error.to_string(),
    })
}
