//! Links to peers, opened on demand.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use cactusnotch_base::Table;
use cactusnotch_base::name::Process;
use cactusnotch_link::{self as link, dial};
use cactusnotch_wire::Body;
use tokio::sync::mpsc;

/// The maximum number of messages queued for one peer. Further messages are
/// dropped, since a later message makes up for each lost one.
const QUEUE_MAX: usize = 64;

/// How long a link stays open without anything to send.
const IDLE_TIMEOUT: Duration = Duration::from_mins(1);

/// Sends messages to peers over links that it opens on demand.
#[derive(Debug)]
pub(crate) struct Courier {
    link: link::Options,
    routes: Arc<Mutex<Table<Process, mpsc::Sender<Body>>>>,
}

impl Courier {
    pub(crate) fn new(link: link::Options) -> Self {
        Self {
            link,
            routes: Arc::default(),
        }
    }

    /// Sends a message to `peer` at `address`; drops it if the queue is full.
    pub(crate) fn send(&self, peer: &Process, address: SocketAddr, message: Body) {
        let mut routes = self.routes.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(route) = routes.get(peer) {
            match route.try_send(message) {
                Ok(()) | Err(mpsc::error::TrySendError::Full(_)) => {}
                Err(mpsc::error::TrySendError::Closed(message)) => {
                    routes.insert(peer.clone(), self.open(peer, address, message));
                }
            }
        } else {
            routes.insert(peer.clone(), self.open(peer, address, message));
        }
    }

    fn open(&self, peer: &Process, address: SocketAddr, first: Body) -> mpsc::Sender<Body> {
        let (sender, receiver) = mpsc::channel(QUEUE_MAX);
        // The queue is new and therefore empty.
        let _ = sender.try_send(first);
        tokio::spawn(deliver(self.link.clone(), peer.clone(), address, receiver));
        sender
    }
}

/// Sends messages to one peer until its link fails or stays idle.
async fn deliver(
    options: link::Options,
    peer: Process,
    address: SocketAddr,
    mut messages: mpsc::Receiver<Body>,
) {
    let link = match dial::<Body>(address, &options).await {
        Ok(link) if link.peer().process == peer => link,
        Ok(link) => {
            tracing::debug!(%peer, found = %link.peer(), "address of the peer belongs to another process");
            return;
        }
        Err(error) => {
            tracing::debug!(%error, %peer, "link to the peer could not be opened");
            return;
        }
    };
    let (sender, mut receiver) = link.split();
    loop {
        tokio::select! {
            message = messages.recv() => {
                let Some(message) = message else { return };
                if sender.send(&message).await.is_err() {
                    return;
                }
            }
            incoming = receiver.recv() => match incoming {
                Some(Ok(_)) => {}
                Some(Err(_)) | None => return,
            },
            () = tokio::time::sleep(IDLE_TIMEOUT) => return,
        }
    }
}
