//! How links are made.

use std::time::Duration;

use crate::{Identity, Secret};

/// How links are made and what they are allowed to take.
#[derive(Debug, Clone)]
pub struct Options {
    /// Who this process is.
    pub identity: Identity,
    /// The cluster's secrets, at most four: the current one and, during a
    /// rotation, the previous one. Two sides that share any one secret accept
    /// each other.
    pub secrets: Vec<Secret>,
    /// The version that this side announces and asks for.
    pub version: u16,
    /// How long connecting, the handshake and the upgrade may take in all.
    pub handshake_timeout: Duration,
    /// The largest message of the handshake, in bytes.
    pub handshake_limit: usize,
    /// How many handshakes a listener runs at a time; more peers wait.
    pub pending_handshakes: usize,
    /// The largest message of the application, in bytes.
    pub frame_limit: usize,
    /// The most messages that wait in either direction's queue.
    pub queue_messages: usize,
    /// The most bytes that wait in either direction's queue; never less than
    /// one frame of the largest size.
    pub queue_bytes: usize,
    /// How often a ping is sent.
    pub ping_interval: Duration,
    /// How long a link may stay without any received byte. A half-open
    /// connection is found within five quarters of it.
    pub idle_timeout: Duration,
}

impl Options {
    /// Creates options with the default limits.
    #[must_use]
    pub const fn new(identity: Identity, secrets: Vec<Secret>) -> Self {
        Self {
            identity,
            secrets,
            version: crate::VERSION,
            handshake_timeout: Duration::from_secs(3),
            handshake_limit: 4 << 10,
            pending_handshakes: 256,
            frame_limit: 4 << 20,
            queue_messages: 1 << 16,
            queue_bytes: 16 << 20,
            ping_interval: Duration::from_secs(2),
            idle_timeout: Duration::from_secs(6),
        }
    }
}
