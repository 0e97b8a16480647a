//! A connection that checks the line ends of the heads of responses.

use std::io::{self, ErrorKind, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::lines::Lines;
use crate::watch::Watch;

/// A connection that fails at a head whose lines end in different ways: once the HTTP library has
/// read a head, its lines are gone.
#[derive(Debug)]
pub struct Stream<S> {
    inner: S,
    lines: Lines,
    watch: Arc<Watch>,
}

impl<S> Stream<S> {
    /// Creates a connection over `inner`, and the state that its owner shares with it.
    pub fn new(inner: S) -> (Self, Arc<Watch>) {
        let watch = Arc::<Watch>::default();
        let stream = Self {
            inner,
            lines: Lines::default(),
            watch: Arc::clone(&watch),
        };
        (stream, watch)
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Stream<S> {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let own = self.get_mut();
        let before = buffer.filled().len();
        ready!(Pin::new(&mut own.inner).poll_read(context, buffer))?;
        if own.watch.take_expected() {
            own.lines = Lines::default();
        }
        let pushed = own.lines.push(&buffer.filled()[before..]);
        Poll::Ready(pushed.map_err(|fault| {
            own.watch.record_fault();
            io::Error::new(ErrorKind::InvalidData, fault)
        }))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Stream<S> {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().inner).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().inner).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().inner).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().inner).poll_shutdown(context)
    }
}
