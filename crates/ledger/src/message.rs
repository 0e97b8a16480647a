//! The messages between entries and agents about a request.

use bytes::Bytes;
use cactusnotch_base::Outcome;
use cactusnotch_base::number::{Incarnation, Sequence};
use cactusnotch_derive::{message, number};
use derive_more::Display;

use crate::{Age, Attempt, Holder, Identity, Window};

/// Whether a request may be run more than once.
#[number]
#[derive(Display)]
#[serde(rename_all = "kebab-case")]
pub enum Repeat {
    /// The request may run any number of times.
    #[display("idempotent")]
    Idempotent,
    /// The request runs at most once.
    #[default]
    #[display("non-idempotent")]
    Once,
}

/// An instruction to run a request. The payload is sent along with it.
#[message]
#[derive(Eq, Hash)]
pub struct Run {
    /// The attempt, which was never sent to any other agent.
    pub attempt: Attempt,
    /// The request.
    pub identity: Identity,
    /// A hash of the payload, which detects a key reused for another request.
    pub digest: u64,
    /// Whether the request may run more than once.
    pub repeat: Repeat,
    /// The agent that may start the attempt, and its latest start.
    pub window: Window,
    /// The age of the agent at which the run is cancelled.
    pub finish_by: Age,
    /// How long the run continues without a listener, in milliseconds.
    pub linger_ms: u64,
}

/// A query by an entry about a run that another attempt may have started.
#[message]
#[derive(Eq, Hash)]
pub struct Query {
    /// The identifier of the conversation, repeated in the replies.
    pub attempt: Attempt,
    /// The attempt to which the query applies.
    pub target: Holder,
    /// The request.
    pub identity: Identity,
    /// A hash of the payload.
    pub digest: u64,
}

/// A request of an entry to an agent.
#[message]
#[derive(Eq, Hash)]
#[serde(rename_all = "kebab-case")]
pub enum Request {
    /// Runs a request, or attaches to the existing run of its key.
    Run(Run),
    /// Permanently refuses the target unless it has started.
    Tombstone(Query),
    /// Sends the pieces of the target's run that follow `after`.
    Attach {
        /// The requested run.
        query: Query,
        /// The last piece received by the entry.
        after: Sequence,
    },
    /// Ends the conversation. A run without conversations continues for its
    /// linger time.
    Cancel {
        /// The conversation.
        attempt: Attempt,
    },
}

/// The reason for a refusal by an agent.
#[message]
#[derive(Eq, Hash, Display)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// The frame is addressed to another endpoint.
    #[display("meant for another endpoint")]
    Elsewhere,
    /// The frame is addressed to another incarnation of the agent.
    #[display("meant for another incarnation, this is {_0}")]
    Replaced(Incarnation),
    /// The key was bound longer ago than the lifetime of keys.
    #[display("the key is older than keys are remembered")]
    Forgotten,
    /// The attempt was given up before its frame arrived.
    #[display("the attempt had been given up")]
    Tombstoned,
    /// The attempt arrived after its latest start.
    #[display("the attempt came too late to start")]
    Late,
    /// The agent accepts no new runs because it is leaving.
    #[display("the endpoint is leaving")]
    Draining,
    /// The endpoint has reported that it currently accepts no more requests.
    #[display("the endpoint takes no more requests for now")]
    Throttled,
    /// The ledger has no space for another run.
    #[display("the agent remembers as many requests as it can")]
    Full,
    /// The key exceeds the maximum length.
    #[display("the key is too long")]
    Oversized,
    /// The key belongs to a request with a different payload.
    #[display("the key names another request")]
    Mismatch,
    /// The run is recorded, but the requested pieces were dropped.
    #[display("the pieces asked for are no longer kept")]
    Dropped,
    /// The endpoint refused the request before it ran.
    #[display("the endpoint did not take the request")]
    Unstarted,
}

/// The reason why a run ended without its end mark.
#[number]
#[derive(Display)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// The endpoint failed.
    #[default]
    #[display("the endpoint failed during the run")]
    Failed,
    /// The run was cancelled because it had no listeners.
    #[display("the run was cancelled")]
    Cancelled,
    /// The run exceeded its deadline.
    #[display("the deadline passed during the run")]
    Deadline,
}

/// A reply of an agent. `attempt` is the conversation identifier given by the
/// entry.
#[message]
#[derive(Eq, Hash)]
#[serde(rename_all = "kebab-case")]
pub enum Reply {
    /// The run has started; its pieces follow.
    Accepted {
        /// The conversation.
        attempt: Attempt,
        /// The attempt that started the run.
        runner: Attempt,
    },
    /// The agent does not run the attempt. If `outcome` is [`Outcome::NotRun`],
    /// it never will.
    Refused {
        /// The conversation.
        attempt: Attempt,
        /// Whether the attempt may have run.
        outcome: Outcome,
        /// The reason.
        reason: Reason,
    },
    /// A piece of the answer.
    Piece {
        /// The conversation.
        attempt: Attempt,
        /// The number of the piece, starting at 1.
        sequence: Sequence,
        /// The bytes of the piece.
        data: Bytes,
    },
    /// The end mark: the answer is complete.
    End {
        /// The conversation.
        attempt: Attempt,
        /// The number of the last piece.
        total: Sequence,
    },
    /// The run ended without an end mark.
    Broken {
        /// The conversation.
        attempt: Attempt,
        /// The cause.
        fault: Fault,
    },
    /// The target has not started and never will.
    Tombstoned {
        /// The conversation.
        attempt: Attempt,
        /// The queried attempt.
        target: Attempt,
    },
    /// The target can't be given up because its key has started.
    Started {
        /// The conversation.
        attempt: Attempt,
        /// The queried attempt.
        target: Attempt,
    },
    /// The target has not started, but still may.
    Absent {
        /// The conversation.
        attempt: Attempt,
        /// The queried attempt.
        target: Attempt,
    },
}

impl Request {
    /// Returns the conversation that the request belongs to.
    #[must_use]
    pub fn attempt(&self) -> Attempt {
        match self {
            Self::Run(run) => run.attempt,
            Self::Tombstone(query) | Self::Attach { query, .. } => query.attempt,
            Self::Cancel { attempt } => *attempt,
        }
    }
}

impl Reply {
    /// Returns the conversation that the reply belongs to.
    #[must_use]
    pub fn attempt(&self) -> Attempt {
        match self {
            Self::Accepted { attempt, .. }
            | Self::Refused { attempt, .. }
            | Self::Piece { attempt, .. }
            | Self::End { attempt, .. }
            | Self::Broken { attempt, .. }
            | Self::Tombstoned { attempt, .. }
            | Self::Started { attempt, .. }
            | Self::Absent { attempt, .. } => *attempt,
        }
    }
}
