//! A request as the entry takes it on.

use cactusnotch_base::clock::Instant;
use cactusnotch_base::number::Sequence;
use cactusnotch_ledger::message::Repeat;
use cactusnotch_ledger::{Attempt, Holder, Identity, Terms};

/// How it is known which agent may run a request.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Mode {
    /// The entry made the key up, so that no other entry can know it.
    Private,
    /// The caller chose the key, and it is claimed before dispatch.
    Claim,
    /// The key is a ticket, which names the agent.
    Ticket(Terms),
    /// The caller asks for the rest of an answer that this attempt runs.
    Resume(Holder),
}

/// A request as the entry takes it on.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Order {
    /// The request.
    pub identity: Identity,
    /// A hash of the payload.
    pub digest: u64,
    /// Whether the request may run more than once.
    pub repeat: Repeat,
    /// How it is known which agent may run the request.
    pub mode: Mode,
    /// A fresh name for the first conversation with an agent.
    pub conversation: Attempt,
    /// The last piece that the caller has; zero for none.
    pub after: Sequence,
    /// When the caller no longer waits.
    pub deadline: Instant,
    /// How long a run goes on without its caller, in milliseconds.
    pub linger_ms: u64,
}
