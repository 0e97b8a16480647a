//! What the caller is told in the end.

use std::time::Duration;

use cactusnotch_base::Outcome;
use cactusnotch_base::number::Sequence;
use cactusnotch_ledger::message;
use derive_more::Display;

/// Why a caller gets no whole answer.
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
    /// The key was claimed for a request with another payload.
    #[display("the key names another request")]
    Mismatch,
    /// The attempt was given up before it started.
    #[display("the attempt was given up before it started")]
    GivenUp,
    /// No endpoint takes the request.
    #[display("no endpoint takes the request")]
    Unroutable,
    /// There was no connection to send the request by.
    #[display("there was no connection to the agent")]
    Unsent,
    /// The agent that the key is bound to is gone.
    #[display("the agent that the key is bound to is gone")]
    Replaced,
    /// The agent does not answer.
    #[display("the agent does not answer")]
    NoAnswer,
    /// The deadline of the request passed.
    #[display("the deadline passed")]
    Deadline,
    /// The pieces of the answer did not fit together.
    #[display("the pieces of the answer do not fit together")]
    Garbled,
}

impl Reason {
    /// Tells whether `not-run` for this reason also says that a non-idempotent
    /// request had not run under its key when it was sent here.
    ///
    /// Otherwise, and for idempotent requests, the key was not looked up, and `not-run` speaks of this
    /// sending only: what became of an earlier one is to be learned by sending
    /// the request again under the same key.
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

/// What the caller is told in the end.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Answer {
    /// All pieces up to this one were passed on, and the answer is whole.
    Whole {
        /// The number of the last piece.
        total: Sequence,
    },
    /// The answer is not whole, and the caller must be told so.
    Refused {
        /// What is known of the request.
        outcome: Outcome,
        /// The reason.
        reason: Reason,
        /// How long to wait before the request is sent again with its key.
        retry_after: Duration,
    },
}
