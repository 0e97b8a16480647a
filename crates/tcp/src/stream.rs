//! A connection whose socket is shared with its monitor.

use std::cell::{Cell, RefCell};
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;

use crate::monitor::Monitor;

/// A connection whose socket is shared with its [`Monitor`].
#[derive(Debug)]
pub struct Stream {
    shared: Rc<Shared>,
}

/// What a connection and its monitor share.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) socket: RefCell<TcpStream>,
    /// The number of bytes that the kernel has taken.
    pub(crate) written_bytes: Cell<u64>,
    /// Whether the kernel has taken all data of the owner, who flushes after it has written.
    pub(crate) is_flushed: Cell<bool>,
    /// Whether data was written since the monitor last found all of it acknowledged.
    pub(crate) is_unsettled: Cell<bool>,
    /// Wakes the monitor after a write.
    pub(crate) written: Notify,
}

impl Stream {
    /// Creates a connection and its monitor.
    #[must_use]
    pub fn new(socket: TcpStream) -> (Self, Monitor) {
        let shared = Rc::new(Shared {
            socket: RefCell::new(socket),
            written_bytes: Cell::new(0),
            is_flushed: Cell::new(true),
            is_unsettled: Cell::new(false),
            written: Notify::new(),
        });
        let monitor = Monitor::new(Rc::clone(&shared));
        (Self { shared }, monitor)
    }

    fn poll_socket<T>(
        &self,
        poll: impl FnOnce(Pin<&mut TcpStream>) -> Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        poll(Pin::new(&mut *self.shared.socket.borrow_mut()))
    }

    /// Does the same as [`Stream::poll_socket`] for a write.
    fn poll_write_socket(
        &self,
        poll: impl FnOnce(Pin<&mut TcpStream>) -> Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        let shared = &self.shared;
        shared.is_flushed.set(false);
        let written = self.poll_socket(poll);
        if let Poll::Ready(Ok(bytes)) = &written {
            let before = shared.written_bytes.get();
            shared.written_bytes.set(before + *bytes as u64);
            if !shared.is_unsettled.replace(true) {
                shared.written.notify_one();
            }
        }
        written
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.poll_socket(|socket| socket.poll_read(context, buffer))
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_socket(|socket| socket.poll_write(context, bytes))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_socket(|socket| socket.poll_write_vectored(context, slices))
    }

    fn is_write_vectored(&self) -> bool {
        self.shared.socket.borrow().is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = self.poll_socket(|socket| socket.poll_flush(context));
        if matches!(flushed, Poll::Ready(Ok(()))) {
            self.shared.is_flushed.set(true);
        }
        flushed
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.poll_socket(|socket| socket.poll_shutdown(context))
    }
}
