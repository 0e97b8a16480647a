//! Response bodies: complete, or streamed in pieces.

use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use derive_more::{Display, Error};
use hyper::body::{Frame, SizeHint};
use tokio::sync::mpsc;

/// The most pieces that are buffered for a slow caller.
const PIECES_WAITING: usize = 64;

/// The stream to a caller broke before the end of the answer.
///
/// The transport turns it into an incomplete body, so a truncated answer never
/// looks complete.
#[derive(Debug, Clone, Copy, Display, Error)]
#[display("stream to the caller: the answer broke before its end")]
pub struct Broken;

/// The body of a response.
#[derive(Debug)]
pub enum Body {
    /// A complete body.
    Whole(Option<Bytes>),
    /// A body whose pieces are streamed as they arrive.
    Pieces(mpsc::Receiver<Result<Bytes, Broken>>),
    /// A broken body whose last pieces are still being written.
    Breaking,
}

impl Body {
    /// Creates a streamed body and the sender of its pieces. The channel closes
    /// when the caller disconnects.
    pub fn pieces() -> (mpsc::Sender<Result<Bytes, Broken>>, Self) {
        let (sender, receiver) = mpsc::channel(PIECES_WAITING);
        (sender, Self::Pieces(receiver))
    }
}

impl From<Bytes> for Body {
    fn from(bytes: Bytes) -> Self {
        Self::Whole((!bytes.is_empty()).then_some(bytes))
    }
}

impl hyper::body::Body for Body {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
        let body = self.get_mut();
        match body {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Pieces(receiver) => match ready!(receiver.poll_recv(context)) {
                Some(Err(Broken)) => {
                    // On a body error the transport discards unwritten data.
                    // Returning pending once lets it write that data first.
                    *body = Self::Breaking;
                    context.waker().wake_by_ref();
                    Poll::Pending
                }
                piece => Poll::Ready(piece.map(|piece| piece.map(Frame::data))),
            },
            Self::Breaking => Poll::Ready(Some(Err(Broken))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64),
            Self::Pieces(_) | Self::Breaking => SizeHint::default(),
        }
    }
}
