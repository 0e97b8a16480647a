//! The commands that a ledger issues to its driver.

use crate::{Attempt, Link, Reply};

/// A command of a ledger to its driver.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Command {
    /// Sends a reply to an entry.
    Send {
        /// The connection.
        link: Link,
        /// The reply.
        reply: Reply,
    },
    /// Immediately starts the attempt whose frame is being handled.
    Start(Attempt),
    /// Cancels the run of an attempt at the endpoint.
    Stop(Attempt),
    /// All runs have ended after [`Event::Drain`](crate::Event::Drain).
    Drained,
}
