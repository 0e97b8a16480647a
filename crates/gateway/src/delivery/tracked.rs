//! Response bodies that report when the connection has taken them.

use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::Notify;

use super::Undelivered;

/// A body that reports when the connection has taken it.
pub(crate) struct Tracked<B> {
    body: B,
    _tracker: Tracker,
}

/// Reports that the connection has taken a body when it is dropped.
pub(crate) struct Tracker {
    undelivered: Rc<Undelivered>,
    handed_over: Rc<Notify>,
}

impl Tracker {
    pub(super) const fn new(undelivered: Rc<Undelivered>, handed_over: Rc<Notify>) -> Self {
        Self {
            undelivered,
            handed_over,
        }
    }

    /// Reports when the connection has taken `body`.
    pub(crate) const fn track<B>(self, body: B) -> Tracked<B> {
        Tracked {
            body,
            _tracker: self,
        }
    }
}

impl Drop for Tracker {
    fn drop(&mut self) {
        self.undelivered.is_handed_over.set(true);
        self.handed_over.notify_one();
    }
}

impl<B: Body + Unpin> Body for Tracked<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        Pin::new(&mut self.get_mut().body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
