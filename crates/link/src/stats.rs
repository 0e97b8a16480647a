//! Counters of one link.

use std::sync::atomic::{AtomicU64, Ordering};

use cactusnotch_telemetry::metric;
use metrics::Counter;

/// The counters of one direction.
#[derive(Debug)]
struct Direction {
    bytes: AtomicU64,
    messages: AtomicU64,
    total_bytes: Counter,
    total_messages: Counter,
}

impl Direction {
    fn new(direction: &'static str) -> Self {
        Self {
            bytes: AtomicU64::new(0),
            messages: AtomicU64::new(0),
            total_bytes: metrics::counter!(metric::LINK_BYTES, "direction" => direction),
            total_messages: metrics::counter!(metric::LINK_MESSAGES, "direction" => direction),
        }
    }

    fn add_bytes(&self, count: usize) {
        self.bytes.fetch_add(count as u64, Ordering::Relaxed);
        self.total_bytes.increment(count as u64);
    }

    fn add_message(&self) {
        self.messages.fetch_add(1, Ordering::Relaxed);
        self.total_messages.increment(1);
    }
}

/// Counters of one link; bytes include the handshake and all framing.
#[derive(Debug)]
pub struct Stats {
    incoming: Direction,
    outgoing: Direction,
}

impl Stats {
    pub(crate) fn new() -> Self {
        Self {
            incoming: Direction::new("in"),
            outgoing: Direction::new("out"),
        }
    }

    /// Returns the number of received bytes.
    #[must_use]
    pub fn bytes_in(&self) -> u64 {
        self.incoming.bytes.load(Ordering::Relaxed)
    }

    /// Returns the number of sent bytes.
    #[must_use]
    pub fn bytes_out(&self) -> u64 {
        self.outgoing.bytes.load(Ordering::Relaxed)
    }

    /// Returns the number of received messages.
    #[must_use]
    pub fn messages_in(&self) -> u64 {
        self.incoming.messages.load(Ordering::Relaxed)
    }

    /// Returns the number of messages passed to the connection.
    #[must_use]
    pub fn messages_out(&self) -> u64 {
        self.outgoing.messages.load(Ordering::Relaxed)
    }

    pub(crate) fn add_bytes_in(&self, count: usize) {
        self.incoming.add_bytes(count);
    }

    pub(crate) fn add_bytes_out(&self, count: usize) {
        self.outgoing.add_bytes(count);
    }

    pub(crate) fn add_message_in(&self) {
        self.incoming.add_message();
    }

    pub(crate) fn add_message_out(&self) {
        self.outgoing.add_message();
    }
}
