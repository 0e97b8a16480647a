//! A byte budget of a queue.

use std::sync::Arc;

use bytes::Bytes;
use tokio::sync::{AcquireError, OwnedSemaphorePermit, Semaphore, TryAcquireError};

/// The bytes that may be queued at once.
#[derive(Debug, Clone)]
pub(crate) struct Budget {
    permits: Arc<Semaphore>,
}

/// An encoded message that occupies its bytes of a budget until it is dropped.
#[derive(Debug)]
pub(crate) struct Charged {
    pub(crate) bytes: Bytes,
    _permit: OwnedSemaphorePermit,
}

impl Budget {
    pub(crate) fn new(bytes: usize) -> Self {
        let bytes = bytes.min(u32::MAX as usize).min(Semaphore::MAX_PERMITS);
        Self {
            permits: Arc::new(Semaphore::new(bytes)),
        }
    }

    pub(crate) fn try_charge(&self, bytes: Bytes) -> Result<Charged, TryAcquireError> {
        let permit = Arc::clone(&self.permits).try_acquire_many_owned(cost(&bytes))?;
        Ok(Charged {
            bytes,
            _permit: permit,
        })
    }

    pub(crate) async fn charge(&self, bytes: Bytes) -> Result<Charged, AcquireError> {
        let permit = Arc::clone(&self.permits)
            .acquire_many_owned(cost(&bytes))
            .await?;
        Ok(Charged {
            bytes,
            _permit: permit,
        })
    }

    /// Refuses all further charges, including pending ones.
    pub(crate) fn close(&self) {
        self.permits.close();
    }
}

fn cost(bytes: &Bytes) -> u32 {
    u32::try_from(bytes.len()).unwrap_or(u32::MAX)
}
