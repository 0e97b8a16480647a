//! A channel for the pieces of a response, bounded by their total size.

use std::sync::Arc;

use bytes::Bytes;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use crate::body::Truncated;
use crate::memory::ANSWER_BYTES;

/// A piece, which counts towards the bound until the caller's connection takes
/// it.
#[derive(Debug)]
pub(crate) struct Piece {
    pub(crate) bytes: Result<Bytes, Truncated>,
    _room: Option<OwnedSemaphorePermit>,
}

/// The sending end of a response.
#[derive(Debug)]
pub(crate) struct Sender {
    room: Arc<Semaphore>,
    pieces: UnboundedSender<Piece>,
}

/// The receiving end, held by the caller's connection.
pub(crate) type Receiver = UnboundedReceiver<Piece>;

/// The caller has disconnected.
#[derive(Debug)]
pub(crate) struct Disconnected;

/// Creates the channel of a response.
pub(crate) fn channel() -> (Sender, Receiver) {
    let (pieces, receiver) = unbounded_channel();
    let room = Arc::new(Semaphore::new(ANSWER_BYTES as usize));
    (Sender { room, pieces }, receiver)
}

impl Sender {
    /// Sends a piece as soon as the bound allows it.
    ///
    /// # Errors
    ///
    /// Returns an error if the caller has disconnected.
    pub(crate) async fn send(&self, bytes: Bytes) -> Result<(), Disconnected> {
        let size = u32::try_from(bytes.len()).unwrap_or(u32::MAX);
        let room = Arc::clone(&self.room).acquire_many_owned(size.min(ANSWER_BYTES));
        let room = tokio::select! {
            biased;
            room = room => room.map_err(|_| Disconnected)?,
            () = self.closed() => return Err(Disconnected),
        };
        self.enqueue(Ok(bytes), Some(room))
    }

    /// Signals that the response is truncated.
    ///
    /// # Errors
    ///
    /// Returns an error if the caller has disconnected.
    pub(crate) fn send_truncated(&self) -> Result<(), Disconnected> {
        self.enqueue(Err(Truncated), None)
    }

    /// Waits until the caller has disconnected.
    pub(crate) async fn closed(&self) {
        self.pieces.closed().await;
    }

    fn enqueue(
        &self,
        bytes: Result<Bytes, Truncated>,
        room: Option<OwnedSemaphorePermit>,
    ) -> Result<(), Disconnected> {
        let piece = Piece { bytes, _room: room };
        self.pieces.send(piece).map_err(|_| Disconnected)
    }
}
