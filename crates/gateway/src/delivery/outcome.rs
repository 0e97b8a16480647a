//! How a response reached the peer of its connection.

use cactusnotch_tcp::Figures;

/// How a response reached the peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// The peer has acknowledged all of it, or the kernel has taken it on a platform that has no
    /// figures of connections.
    Delivered,
    /// The connection ended before.
    CutOff(Option<CutOff>),
}

/// A connection that ended while data waited for the peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct CutOff {
    /// The number of bytes that the peer has not acknowledged.
    pub(crate) unacknowledged: u64,
    pub(crate) figures: Figures,
}
