//! The sending half of a link.

use std::marker::PhantomData;
use std::sync::Arc;

use bytes::Bytes;
use serde::Serialize;
use tokio::sync::mpsc;
use tokio::sync::mpsc::error::TrySendError;

use crate::budget::Charged;
use crate::error::{Cause, Error, Step};
use crate::shared::Shared;
use crate::{Identity, Reason, Stats, codec};

/// An item of the writer's queue.
#[derive(Debug)]
pub(crate) enum Outgoing {
    Message(Charged),
    Close(String),
}

/// The sending half of a link; clones share one bounded queue.
///
/// When the last clone is dropped, queued messages are written and the link is
/// closed.
#[derive(Debug)]
pub struct Sender<M> {
    queue: mpsc::Sender<Outgoing>,
    shared: Arc<Shared>,
    message: PhantomData<fn(M)>,
}

impl<M> Clone for Sender<M> {
    fn clone(&self) -> Self {
        Self::new(self.queue.clone(), Arc::clone(&self.shared))
    }
}

impl<M> Sender<M> {
    pub(crate) const fn new(queue: mpsc::Sender<Outgoing>, shared: Arc<Shared>) -> Self {
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

    /// Writes the queued messages and closes the link with `reason`. Later
    /// messages are refused.
    pub async fn close(&self, reason: &str) {
        let _ = self.queue.send(Outgoing::Close(reason.to_owned())).await;
    }

    fn full(&self) -> Error {
        let cause = Cause::Full {
            messages: self.shared.queue_messages,
            bytes: self.shared.queue_bytes,
        };
        self.shared.error(Step::Send, cause)
    }
}

impl<M: Serialize> Sender<M> {
    /// Queues `message` without waiting.
    ///
    /// # Errors
    ///
    /// Returns [`Cause::Full`] if the queue is full, [`Cause::Oversized`]
    /// if the message exceeds the limit, [`Cause::Malformed`] if it can't be
    /// encoded and [`Cause::Closed`] if the link has ended.
    pub fn try_send(&self, message: &M) -> Result<(), Error> {
        let bytes = self.encode(message)?;
        let charged = self.shared.outgoing.try_charge(bytes);
        let charged = charged.map_err(|error| match error {
            tokio::sync::TryAcquireError::NoPermits => self.full(),
            tokio::sync::TryAcquireError::Closed => self.shared.closed(Step::Send),
        })?;
        let queued = self.queue.try_send(Outgoing::Message(charged));
        queued.map_err(|error| match error {
            TrySendError::Full(_) => self.full(),
            TrySendError::Closed(_) => self.shared.closed(Step::Send),
        })
    }

    /// Queues `message`, waiting while the queue is full.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`Sender::try_send`] except [`Cause::Full`].
    pub async fn send(&self, message: &M) -> Result<(), Error> {
        let bytes = self.encode(message)?;
        let charged = self.shared.outgoing.charge(bytes).await;
        let charged = charged.map_err(|_| self.shared.closed(Step::Send))?;
        let queued = self.queue.send(Outgoing::Message(charged)).await;
        queued.map_err(|_| self.shared.closed(Step::Send))
    }

    fn encode(&self, message: &M) -> Result<Bytes, Error> {
        let bytes = codec::encode(message).map_err(|cause| self.shared.error(Step::Send, cause))?;
        let limit = self.shared.frame_limit;
        if bytes.len() > limit {
            let length = bytes.len();
            return Err(self
                .shared
                .error(Step::Send, Cause::Oversized { length, limit }));
        }
        Ok(bytes.into())
    }
}
