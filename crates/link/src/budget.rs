//! The bytes that may wait in a queue.

use std::sync::Arc;

use bytes::Bytes;
use tokio::sync::{AcquireError, OwnedSemaphorePermit, Semaphore, TryAcquireError};

/// The bytes that may wait in a queue.
#[derive(Debug, Clone)]
pub(crate) struct Budget {
    room: Arc<Semaphore>,
}

/// An encoded message that holds its share of a budget until it is dropped.
#[derive(Debug)]
pub(crate) struct Charged {
    pub(crate) bytes: Bytes,
    _permit: OwnedSemaphorePermit,
}

impl Budget {
    pub(crate) fn new(bytes: usize) -> Self {
        let bytes = bytes.min(u32::MAX as usize).min(Semaphore::MAX_PERMITS);
        Self {
            room: Arc::new(Semaphore::new(bytes)),
        }
    }

    pub(crate) fn try_charge(&self, bytes: Bytes) -> Result<Charged, TryAcquireError> {
        let permit = Arc::clone(&self.room).try_acquire_many_owned(price(&bytes))?;
        Ok(Charged {
            bytes,
            _permit: permit,
        })
    }

    pub(crate) async fn charge(&self, bytes: Bytes) -> Result<Charged, AcquireError> {
        let permit = Arc::clone(&self.room)
            .acquire_many_owned(price(&bytes))
            .await?;
        Ok(Charged {
            bytes,
            _permit: permit,
        })
    }

    /// Refuses all charges from now on, waiting ones too.
    pub(crate) fn close(&self) {
        self.room.close();
    }
}

fn price(bytes: &Bytes) -> u32 {
    u32::try_from(bytes.len()).unwrap_or(u32::MAX)
}
