//! Configuration of links.

use std::time::Duration;

use crate::{Identity, Secret};

/// Configuration of links: identity, secrets, timeouts and limits.
#[derive(Debug, Clone)]
pub struct Options {
    /// The identity of this process.
    pub identity: Identity,
    /// The cluster's secrets, at most four: the current one and, during a
    /// rotation, the previous one. Two sides accept each other if they share at
    /// least one.
    pub secrets: Vec<Secret>,
    /// The protocol version that this side announces and requires.
    pub version: u16,
    /// The timeout of the connect, the handshake and the upgrade together.
    pub handshake_timeout: Duration,
    /// The largest message of the handshake, in bytes.
    pub handshake_limit: usize,
    /// The most concurrent handshakes of a listener; further peers wait.
    pub pending_handshakes: usize,
    /// The largest message of the application, in bytes.
    pub frame_limit: usize,
    /// The most messages in the queue of each direction.
    pub queue_messages: usize,
    /// The most bytes in the queue of each direction; at least the largest
    /// frame.
    pub queue_bytes: usize,
    /// The interval between pings.
    pub ping_interval: Duration,
    /// The longest time without any received byte before the link is closed. A
    /// half-open connection is detected within five quarters of it.
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
