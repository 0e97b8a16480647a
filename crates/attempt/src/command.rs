//! What an exchange wants done.

use bytes::Bytes;
use cactusnotch_base::name::Endpoint;
use cactusnotch_base::number::Sequence;
use cactusnotch_claim::Claim;
use cactusnotch_ledger::Request;

use crate::Answer;

/// What an exchange wants done.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Command {
    /// Chooses an endpoint.
    Route {
        /// The one endpoint that may be chosen, if there is but one.
        only: Option<Endpoint>,
        /// The endpoints that refused or did not answer.
        avoid: Vec<Endpoint>,
    },
    /// Claims the key, at the shard's owner or, when it comes again, at
    /// another writer. An answer that comes late or twice does no harm.
    Claim(Claim),
    /// Sends a request to an endpoint's agent, with the payload if it is a
    /// [`Request::Run`]. Without a connection it may be dropped; for a run
    /// [`Event::Unsent`](crate::Event::Unsent) then spares the caller an
    /// `unknown`.
    Send {
        /// The endpoint.
        endpoint: Endpoint,
        /// The request.
        request: Request,
    },
    /// Passes a piece of the answer on to the caller.
    Piece {
        /// The number of the piece, which a caller resumes after.
        sequence: Sequence,
        /// The bytes of the piece.
        data: Bytes,
    },
    /// Tells the caller the end; nothing follows.
    Finish(Answer),
}
