//! CBOR encoding of messages.

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::error::Cause;

pub(crate) fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>, Cause> {
    let mut bytes = Vec::new();
    ciborium::into_writer(message, &mut bytes)
        .map_err(|error| Cause::Malformed(error.to_string()))?;
    Ok(bytes)
}

pub(crate) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Cause> {
    ciborium::from_reader(bytes).map_err(|error| Cause::Malformed(error.to_string()))
}
