//! Bodies of responses: whole, or pieces sent as they arrive.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use derive_more::{Display, Error};
use hyper::body::{Frame, SizeHint};
use tokio::sync::mpsc;

/// The number of pieces that may wait for a slow caller.
const PIECES_WAITING: usize = 64;

/// The stream to a caller broke before the end of the answer.
///
/// The transport turns it into an incomplete body, so that an answer without
/// its end never looks whole.
#[derive(Debug, Clone, Copy, Display, Error)]
#[display("stream to the caller: the answer broke before its end")]
pub struct Broken;

/// The body of a response.
#[derive(Debug)]
pub enum Body {
    /// A body that is known as a whole.
    Whole(Option<Bytes>),
    /// A body whose pieces are sent as they arrive.
    Pieces(mpsc::Receiver<Result<Bytes, Broken>>),
}

impl Body {
    /// Creates a body of pieces and the sender that feeds it. The sender's
    /// channel closes when the caller goes away.
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
        match self.get_mut() {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Pieces(receiver) => receiver
                .poll_recv(context)
                .map(|piece| piece.map(|piece| piece.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64),
            Self::Pieces(_) => SizeHint::default(),
        }
    }
}
