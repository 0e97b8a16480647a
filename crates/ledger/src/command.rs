//! What a ledger wants done.

use crate::{Attempt, Link, Reply};

/// What a ledger wants done.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Command {
    /// Sends a reply to an entry.
    Send {
        /// The connection.
        link: Link,
        /// The reply.
        reply: Reply,
    },
    /// Starts the attempt whose frame is being stepped through, at once.
    Start(Attempt),
    /// Cancels the run of an attempt at the endpoint.
    Stop(Attempt),
    /// Everything that ran has ended after [`Event::Drain`](crate::Event::Drain).
    Drained,
}
