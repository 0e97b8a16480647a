//! What a ledger is told.

use bytes::Bytes;

use crate::{Attempt, Link, Request};

/// What a ledger is told.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Event {
    /// An entry asks for something.
    Request {
        /// The connection that the request came by.
        link: Link,
        /// The request.
        request: Request,
    },
    /// A connection is gone.
    LinkLost(Link),
    /// The endpoint made a piece of an answer.
    Piece {
        /// The attempt that was started.
        attempt: Attempt,
        /// The bytes of the piece.
        data: Bytes,
    },
    /// The endpoint finished an answer.
    Done(Attempt),
    /// The endpoint failed after it may have begun to run.
    Failed(Attempt),
    /// The endpoint provably did not take the request, for instance since it
    /// could not be connected to.
    Unstarted(Attempt),
    /// The agent is to leave; there is no way back.
    Drain,
    /// The endpoint takes no new runs for now, or takes them again.
    Throttle(bool),
    /// Time has passed.
    Tick,
}
