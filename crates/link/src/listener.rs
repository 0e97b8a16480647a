//! A listener for links.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream, ToSocketAddrs};
use tokio::sync::{Semaphore, mpsc};
use tokio::task::JoinHandle;

use crate::error::{Cause, Error, Step};
use crate::link::Payload;
use crate::{Link, Options, accept};

/// The pause after a failed accept, for example for lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts links on an address. Handshakes run concurrently, so a slow or
/// hostile peer does not delay the others.
#[derive(Debug)]
pub struct Listener<M> {
    address: SocketAddr,
    links: mpsc::Receiver<Result<Link<M>, Error>>,
    refused: Arc<AtomicU64>,
    task: JoinHandle<()>,
}

impl<M: Payload> Listener<M> {
    /// Listens on `address`.
    ///
    /// # Errors
    ///
    /// Returns an error of [`Step::Listen`] if the address cannot be bound.
    pub async fn bind(
        address: impl ToSocketAddrs + std::fmt::Display,
        options: Options,
    ) -> Result<Self, Error> {
        let peer: Arc<str> = address.to_string().into();
        let error = |error| Error {
            step: Step::Listen,
            peer: Arc::clone(&peer),
            cause: Cause::Io(error),
        };
        let listener = TcpListener::bind(address).await.map_err(error)?;
        let address = listener.local_addr().map_err(error)?;
        let (sender, links) = mpsc::channel(options.pending_handshakes);
        let refused = Arc::new(AtomicU64::new(0));
        let acceptor = Acceptor {
            handshakes: Arc::new(Semaphore::new(options.pending_handshakes)),
            options: Arc::new(options),
            links: sender,
            refused: Arc::clone(&refused),
        };
        let task = tokio::spawn(acceptor.run(listener));
        Ok(Self {
            address,
            links,
            refused,
            task,
        })
    }

    /// Waits for the next link, or for the error of a failed handshake.
    pub async fn accept(&mut self) -> Option<Result<Link<M>, Error>> {
        self.links.recv().await
    }
}

impl<M> Listener<M> {
    /// Returns the local address.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of failed handshakes.
    #[must_use]
    pub fn refused(&self) -> u64 {
        self.refused.load(Ordering::Relaxed)
    }
}

impl<M> Drop for Listener<M> {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// The task behind a listener.
struct Acceptor<M> {
    handshakes: Arc<Semaphore>,
    options: Arc<Options>,
    links: mpsc::Sender<Result<Link<M>, Error>>,
    refused: Arc<AtomicU64>,
}

impl<M: Payload> Acceptor<M> {
    async fn run(self, listener: TcpListener) {
        loop {
            let Ok(slot) = Arc::clone(&self.handshakes).acquire_owned().await else {
                return;
            };
            let Some(stream) = accepted(listener.accept().await).await else {
                continue;
            };
            let options = Arc::clone(&self.options);
            let links = self.links.clone();
            let refused = Arc::clone(&self.refused);
            tokio::spawn(async move {
                let link = accept(stream, &options).await;
                if link.is_err() {
                    refused.fetch_add(1, Ordering::Relaxed);
                }
                let _ = links.send(link).await;
                drop(slot);
            });
        }
    }
}

async fn accepted(result: io::Result<(TcpStream, SocketAddr)>) -> Option<TcpStream> {
    if result.is_err() {
        tokio::time::sleep(ACCEPT_PAUSE).await;
    }
    result.ok().map(|(stream, _)| stream)
}
