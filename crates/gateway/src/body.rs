//! The body of a response to a caller.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use derive_more::{Display, Error};
use hyper::body::{Body, Frame, SizeHint};

use crate::pieces;

/// The response can't be completed. The connection is then closed, which lets
/// the caller detect that the response is truncated.
#[derive(Debug, Clone, Copy, Display, Error)]
#[display("the answer broke off")]
pub(crate) struct Truncated;

impl From<Infallible> for Truncated {
    fn from(never: Infallible) -> Self {
        match never {}
    }
}

/// The body of a response to a caller.
#[derive(Debug)]
pub(crate) enum Outgoing {
    /// A complete body.
    Whole(Option<Bytes>),
    /// Pieces that are relayed as they arrive; `remaining` is the part of the
    /// stated content length that has not been sent yet.
    Pieces {
        receiver: pieces::Receiver,
        remaining: Option<u64>,
    },
}

impl Body for Outgoing {
    type Data = Bytes;
    type Error = Truncated;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Truncated>>> {
        match self.get_mut() {
            Self::Whole(bytes) => Poll::Ready(
                bytes
                    .take()
                    .filter(|b| !b.is_empty())
                    .map(|b| Ok(Frame::data(b))),
            ),
            Self::Pieces {
                receiver,
                remaining,
            } => receiver.poll_recv(context).map(|piece| {
                let piece = piece?.bytes;
                if let (Ok(bytes), Some(remaining)) = (&piece, remaining) {
                    *remaining = remaining.saturating_sub(bytes.len() as u64);
                }
                Some(piece.map(Frame::data))
            }),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.len() as u64))
            }
            Self::Pieces {
                remaining: Some(remaining),
                ..
            } => SizeHint::with_exact(*remaining),
            Self::Pieces {
                remaining: None, ..
            } => SizeHint::default(),
        }
    }
}
