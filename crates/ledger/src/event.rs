//! The events that drive a ledger.

use bytes::Bytes;

use crate::{Attempt, Link, Request};

/// An event that drives a ledger.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Event {
    /// An entry sent a request.
    Request {
        /// The connection on which the request arrived.
        link: Link,
        /// The request.
        request: Request,
    },
    /// A connection was closed.
    LinkLost(Link),
    /// The endpoint produced a piece of an answer.
    Piece {
        /// The attempt that started the run.
        attempt: Attempt,
        /// The bytes of the piece.
        data: Bytes,
    },
    /// The endpoint finished an answer.
    Done(Attempt),
    /// The endpoint failed after the run may have begun.
    Failed(Attempt),
    /// The endpoint provably did not accept the request, for example because
    /// the connection to it failed.
    Unstarted(Attempt),
    /// The agent is to leave. This can't be undone.
    Drain,
    /// The endpoint stops (`true`) or resumes (`false`) accepting new runs.
    Throttle(bool),
    /// Time has passed.
    Tick,
}
