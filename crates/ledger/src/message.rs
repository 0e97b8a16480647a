//! What an entry and an agent say to one another about a request.

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
    /// It may run any number of times.
    #[display("idempotent")]
    Idempotent,
    /// It runs at most once.
    #[default]
    #[display("non-idempotent")]
    Once,
}

/// An order to run a request; its payload travels beside it.
#[message]
#[derive(Eq, Hash)]
pub struct Run {
    /// The attempt, which was never sent to another agent.
    pub attempt: Attempt,
    /// The request.
    pub identity: Identity,
    /// A hash of the payload, so that a key is not used for two requests.
    pub digest: u64,
    /// Whether the request may run more than once.
    pub repeat: Repeat,
    /// The agent that may start the attempt, and until when.
    pub window: Window,
    /// The age of the agent at which the run is cancelled.
    pub finish_by: Age,
    /// How long the run goes on without anybody to send it to, in
    /// milliseconds.
    pub linger_ms: u64,
}

/// A question of an entry about a run that may have been started by another
/// attempt.
#[message]
#[derive(Eq, Hash)]
pub struct Query {
    /// The name of the conversation, repeated in the replies.
    pub attempt: Attempt,
    /// The attempt that is asked about.
    pub target: Holder,
    /// The request.
    pub identity: Identity,
    /// A hash of the payload.
    pub digest: u64,
}

/// What an entry asks of an agent.
#[message]
#[derive(Eq, Hash)]
#[serde(rename_all = "kebab-case")]
pub enum Request {
    /// Runs a request, or attaches to the run of its key.
    Run(Run),
    /// Refuses the target for good unless it has started.
    Tombstone(Query),
    /// Sends the pieces of the target's run that follow `after`.
    Attach {
        /// The run that is asked for.
        query: Query,
        /// The last piece that the entry has.
        after: Sequence,
    },
    /// Ends the conversation; a run without any goes on for its linger time.
    Cancel {
        /// The conversation.
        attempt: Attempt,
    },
}

/// Why an agent refuses.
#[message]
#[derive(Eq, Hash, Display)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// The frame was meant for another endpoint.
    #[display("meant for another endpoint")]
    Elsewhere,
    /// The frame was meant for another incarnation of the agent.
    #[display("meant for another incarnation, this is {_0}")]
    Replaced(Incarnation),
    /// The key was bound longer ago than keys are remembered.
    #[display("the key is older than keys are remembered")]
    Forgotten,
    /// The attempt was given up before it came.
    #[display("the attempt had been given up")]
    Tombstoned,
    /// The attempt came after the time at which it could start.
    #[display("the attempt came too late to start")]
    Late,
    /// The agent takes no new work, since it is leaving.
    #[display("the endpoint is leaving")]
    Draining,
    /// The endpoint takes no more requests for now, as it says itself.
    #[display("the endpoint takes no more requests for now")]
    Throttled,
    /// The agent can remember no more keys.
    #[display("the agent remembers as many requests as it can")]
    Full,
    /// The key is longer than keys may be.
    #[display("the key is too long")]
    Oversized,
    /// The key names a request with another payload.
    #[display("the key names another request")]
    Mismatch,
    /// The run is known, but the pieces asked for are no longer kept.
    #[display("the pieces asked for are no longer kept")]
    Dropped,
    /// The endpoint refused the request before it ran.
    #[display("the endpoint did not take the request")]
    Unstarted,
}

/// Why a run ended without its end mark.
#[number]
#[derive(Display)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// The endpoint failed.
    #[default]
    #[display("the endpoint failed during the run")]
    Failed,
    /// The run was cancelled since nobody waited for it.
    #[display("the run was cancelled")]
    Cancelled,
    /// The run went on beyond its deadline.
    #[display("the deadline passed during the run")]
    Deadline,
}

/// What an agent replies; `attempt` is the conversation as the entry named it.
#[message]
#[derive(Eq, Hash)]
#[serde(rename_all = "kebab-case")]
pub enum Reply {
    /// The run has started, and its pieces follow.
    Accepted {
        /// The conversation.
        attempt: Attempt,
        /// The attempt that started the run.
        runner: Attempt,
    },
    /// The agent does not run the attempt, and never will if `outcome` says
    /// that it did not run.
    Refused {
        /// The conversation.
        attempt: Attempt,
        /// What is known of the attempt.
        outcome: Outcome,
        /// The reason.
        reason: Reason,
    },
    /// A piece of the answer.
    Piece {
        /// The conversation.
        attempt: Attempt,
        /// The number of the piece; the first one is 1.
        sequence: Sequence,
        /// The bytes of the piece.
        data: Bytes,
    },
    /// The end mark: the answer is whole.
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
        /// The attempt asked about.
        target: Attempt,
    },
    /// The target cannot be given up: its key has started.
    Started {
        /// The conversation.
        attempt: Attempt,
        /// The attempt asked about.
        target: Attempt,
    },
    /// The target has not started, but may still do so.
    Absent {
        /// The conversation.
        attempt: Attempt,
        /// The attempt asked about.
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
