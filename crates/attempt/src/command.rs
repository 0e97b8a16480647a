//! The commands that an exchange issues to its driver.

use bytes::Bytes;
use cactusnotch_base::name::Endpoint;
use cactusnotch_base::number::Sequence;
use cactusnotch_claim::Claim;
use cactusnotch_ledger::Request;

use crate::Answer;

/// A command of an exchange to its driver.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Command {
    /// Chooses an endpoint.
    Route {
        /// The only endpoint that may be chosen, if the choice is restricted.
        only: Option<Endpoint>,
        /// The endpoints that refused or did not answer.
        avoid: Vec<Endpoint>,
    },
    /// Claims the key at the owner of the shard or, if the command is repeated,
    /// at another writer. Late and duplicate answers are harmless.
    Claim(Claim),
    /// Sends a request to an endpoint's agent, with the payload if it is a
    /// [`Request::Run`]. It may be dropped if there is no connection. For a run
    /// the driver should then issue [`Event::Unsent`](crate::Event::Unsent), so
    /// that the caller does not get the outcome `unknown`.
    Send {
        /// The endpoint.
        endpoint: Endpoint,
        /// The request.
        request: Request,
    },
    /// Passes a piece of the answer on to the caller.
    Piece {
        /// The number of the piece, after which a caller can resume.
        sequence: Sequence,
        /// The bytes of the piece.
        data: Bytes,
    },
    /// Sends the caller the final answer. No command follows.
    Finish(Answer),
}
