//! The body of an answer: whole, or flushed token by token.

use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use hyper::body::{Body, Bytes, Frame};
use tokio::sync::mpsc::UnboundedReceiver;

use super::chat::Head;
use super::core::Core;
use crate::sync::lock;

/// A stream of tokens as server-sent events, whose run is cancelled if it is
/// dropped before its end.
#[derive(Debug)]
pub(crate) struct Stream {
    pub(crate) head: Head,
    pub(crate) tokens: UnboundedReceiver<String>,
    pub(crate) core: Arc<Core>,
    pub(crate) run: usize,
    pub(crate) ended: bool,
}

/// An answer's body.
#[derive(Debug)]
pub(crate) enum Answer {
    Whole(Option<Bytes>),
    Stream(Stream),
}

impl From<Bytes> for Answer {
    fn from(bytes: Bytes) -> Self {
        Self::Whole(Some(bytes))
    }
}

impl Stream {
    fn event(&mut self, token: Option<&str>) -> Bytes {
        let spoilt = lock(&self.core.spoilt).unwrap_or_default();
        let mut event = format!("{spoilt}data: {}\n\n", self.head.chunk(token));
        if token.is_none() {
            self.ended = true;
            event.push_str("data: [DONE]\n\n");
        }
        Bytes::from(event)
    }
}

impl Drop for Stream {
    fn drop(&mut self) {
        self.core.cancel(self.run);
    }
}

impl Body for Answer {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let bytes = match self.get_mut() {
            Self::Whole(bytes) => bytes.take(),
            Self::Stream(stream) if stream.ended => None,
            Self::Stream(stream) => {
                let token = ready!(stream.tokens.poll_recv(context));
                Some(stream.event(token.as_deref()))
            }
        };
        Poll::Ready(bytes.map(|bytes| Ok(Frame::data(bytes))))
    }
}
