//! The crash of an endpoint.

use cactusnotch_base::clock::Instant;
use cactusnotch_derive::record;

/// A crash of an endpoint while it ran a request for which it had sent nothing or had only
/// begun to send.
#[record]
pub struct Crash {
    /// The incarnation of the endpoint.
    pub endpoint: String,
    /// When the request was sent to the endpoint.
    pub sent: Instant,
    /// When the crash was detected.
    pub at: Instant,
}
