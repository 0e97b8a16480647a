//! The receiving half of a link.

use std::marker::PhantomData;
use std::sync::Arc;

use serde::de::DeserializeOwned;
use tokio::sync::mpsc;

use crate::budget::Charged;
use crate::error::{Error, Step};
use crate::shared::Shared;
use crate::{Identity, Reason, Stats, codec};

/// The receiving half of a link. Dropping it ends the link.
#[derive(Debug)]
pub struct Receiver<M> {
    queue: mpsc::Receiver<Result<Charged, Error>>,
    shared: Arc<Shared>,
    message: PhantomData<fn() -> M>,
}

impl<M> Receiver<M> {
    pub(crate) const fn new(
        queue: mpsc::Receiver<Result<Charged, Error>>,
        shared: Arc<Shared>,
    ) -> Self {
        Self {
            queue,
            shared,
            message: PhantomData,
        }
    }

    /// Returns the peer's identity.
    #[must_use]
    pub fn peer(&self) -> &Identity {
        &self.shared.identity
    }

    /// Returns the counters of the link.
    #[must_use]
    pub fn stats(&self) -> &Stats {
        &self.shared.stats
    }

    /// Waits until the link has ended and returns the reason.
    pub async fn closed(&self) -> Reason {
        self.shared.ended().await
    }
}

impl<M: DeserializeOwned> Receiver<M> {
    /// Waits for the next message; `None` means that the link has ended.
    ///
    /// # Errors
    ///
    /// A message that cannot be decoded yields
    /// [`Cause::Malformed`](crate::error::Cause::Malformed), and the link stays
    /// open. Any other error is the link's last item.
    pub async fn recv(&mut self) -> Option<Result<M, Error>> {
        let item = self.queue.recv().await?;
        Some(item.and_then(|charged| {
            self.shared.stats.add_message_in();
            codec::decode(&charged.bytes).map_err(|cause| self.shared.error(Step::Receive, cause))
        }))
    }
}
