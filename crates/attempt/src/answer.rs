//! The final answer to a caller.

use std::time::Duration;

use cactusnotch_base::Outcome;
use cactusnotch_base::number::Sequence;
use cactusnotch_ledger::message;
use derive_more::Display;

/// The reason why a caller gets no complete answer.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Display)]
pub enum Reason {
    /// The agent refused.
    #[display("refused by the agent: {_0}")]
    Refused(message::Reason),
    /// The run ended without its end mark.
    #[display("{_0}")]
    Broken(message::Fault),
    /// The claim could not be recorded.
    #[display("the claim of the key could not be recorded")]
    Unavailable,
    /// The key is claimed for a request with a different payload.
    #[display("the key names another request")]
    Mismatch,
    /// The attempt was given up before it started.
    #[display("the attempt was given up before it started")]
    GivenUp,
    /// No endpoint accepts the request.
    #[display("no endpoint takes the request")]
    Unroutable,
    /// There was no connection on which to send the request.
    #[display("there was no connection to the agent")]
    Unsent,
    /// The incarnation of the agent to which the key is bound has ended.
    #[display("the agent that the key is bound to is gone")]
    Replaced,
    /// The agent did not answer in time.
    #[display("the agent does not answer")]
    NoAnswer,
    /// The deadline of the request passed.
    #[display("the deadline passed")]
    Deadline,
    /// The pieces of the answer are inconsistent.
    #[display("the pieces of the answer do not fit together")]
    Garbled,
}

impl Reason {
    /// Returns whether `not-run` for this reason implies that a non-idempotent
    /// request had not run under its key when it arrived here.
    ///
    /// Otherwise, and for idempotent requests, the key was not looked up, and
    /// `not-run` applies only to this transmission. To learn the result of an
    /// earlier one, the caller sends the request again with the same key.
    #[must_use]
    pub const fn covers_key(&self) -> bool {
        match self {
            Self::Refused(_) | Self::GivenUp | Self::Mismatch => true,
            Self::Unavailable
            | Self::Unroutable
            | Self::Unsent
            | Self::Deadline
            | Self::Broken(_)
            | Self::Replaced
            | Self::NoAnswer
            | Self::Garbled => false,
        }
    }
}

/// The final answer to a caller.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Answer {
    /// The answer is complete, and all its pieces were passed on.
    Whole {
        /// The number of the last piece.
        total: Sequence,
    },
    /// The answer is incomplete, which must be reported to the caller.
    Refused {
        /// Whether the request may have run.
        outcome: Outcome,
        /// The reason.
        reason: Reason,
        /// The delay before the caller sends the request again with its key.
        retry_after: Duration,
    },
}
