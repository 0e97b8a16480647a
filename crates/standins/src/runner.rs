//! A thread with a runtime of its own that serves one listener.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::thread::{self, JoinHandle};

use tokio::net::TcpListener;
use tokio::runtime::{Builder, Handle};
use tokio::sync::oneshot;

/// A running listener. All its tasks end when it is dropped.
#[derive(Debug)]
pub(crate) struct Runner {
    address: SocketAddr,
    handle: Handle,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Runner {
    /// Binds `address` and runs `accept` on the listener.
    pub(crate) fn start<F, R>(address: SocketAddr, accept: F) -> io::Result<Self>
    where
        F: FnOnce(TcpListener) -> R + Send + 'static,
        R: Future<Output = ()>,
    {
        let listener = std::net::TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let runtime = Builder::new_current_thread().enable_all().build()?;
        let handle = runtime.handle().clone();
        let listener = {
            let _entered = handle.enter();
            TcpListener::from_std(listener)?
        };
        let (stop, stopped) = oneshot::channel();
        let thread = thread::spawn(move || {
            runtime.block_on(async {
                tokio::select! {
                    _ = stopped => {}
                    () = accept(listener) => {}
                }
            });
        });
        Ok(Self {
            address,
            handle,
            stop: Some(stop),
            thread: Some(thread),
        })
    }

    /// Returns the address that the listener is bound to.
    pub(crate) const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Runs `task` on the thread.
    pub(crate) fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        self.handle.spawn(task);
    }
}

impl Drop for Runner {
    fn drop(&mut self) {
        drop(self.stop.take());
        if let Some(thread) = self.thread.take() {
            drop(thread.join());
        }
    }
}
