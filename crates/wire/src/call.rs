//! A call to an endpoint, as received from the caller.

use bytes::Bytes;
use cactusnotch_derive::message;

/// A call to an endpoint, as received from the caller.
#[message]
#[derive(Eq)]
pub struct Call {
    /// The HTTP method.
    pub method: String,
    /// The path with its query.
    pub path: String,
    /// The media type of the payload, if the caller stated it.
    pub content_type: Option<String>,
    /// The priority; smaller values are served first.
    pub priority: u8,
    /// The payload.
    pub payload: Bytes,
}
