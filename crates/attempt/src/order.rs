//! A request as accepted by an entry.

use cactusnotch_base::clock::Instant;
use cactusnotch_base::number::Sequence;
use cactusnotch_ledger::message::Repeat;
use cactusnotch_ledger::{Attempt, Holder, Identity, Terms};

/// How the agent that may run a request is determined.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Mode {
    /// The entry generated the key, so no other entry can use it.
    Private,
    /// The caller chose the key, which is claimed before dispatch.
    Claim,
    /// The key is a ticket, which names the agent.
    Ticket(Terms),
    /// The caller requests the rest of the answer to this attempt.
    Resume(Holder),
}

/// A request as accepted by an entry.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Order {
    /// The request.
    pub identity: Identity,
    /// A hash of the payload.
    pub digest: u64,
    /// Whether the request may run more than once.
    pub repeat: Repeat,
    /// How the agent that may run the request is determined.
    pub mode: Mode,
    /// A new identifier for the first conversation with an agent.
    pub conversation: Attempt,
    /// The last piece received by the caller, or zero.
    pub after: Sequence,
    /// When the caller stops waiting.
    pub deadline: Instant,
    /// How long a run continues without its caller, in milliseconds.
    pub linger_ms: u64,
}
