//! A call to an endpoint, as the caller made it.

use bytes::Bytes;
use cactusnotch_derive::message;

/// A call to an endpoint, as the caller made it.
#[message]
#[derive(Eq)]
pub struct Call {
    /// The HTTP method.
    pub method: String,
    /// The path with its query.
    pub path: String,
    /// The media type of the payload, if it was stated.
    pub content_type: Option<String>,
    /// The priority; a smaller one goes first.
    pub priority: u8,
    /// The payload.
    pub payload: Bytes,
}
