//! The memory budget of an entry for requests and responses in progress.

use std::sync::Arc;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// The memory of a request without its body: the buffered pieces of its response, and the
/// same amount again for the buffers of each of its two connections.
const REQUEST_BYTES: u32 = 3 * ANSWER_BYTES;
/// The most bytes of a response that are buffered for a slow caller before reading from the
/// endpoint pauses. A whole stream of short events fits, which frees its endpoint sooner.
pub const ANSWER_BYTES: u32 = 16 * 1024;
/// Requests and responses may use the host's memory divided by this number. The
/// configuration, idle connections and the allocator's overhead need the rest.
const HOST_DIVISOR: u64 = 2;

/// The memory budget of an entry for requests and responses in progress.
#[derive(Debug)]
pub struct Memory {
    free: Arc<Semaphore>,
}

/// Memory reserved by a request, which is released when this is dropped.
#[derive(Debug)]
pub struct Reservation {
    permit: OwnedSemaphorePermit,
}

impl Memory {
    /// Creates the budget of an entry on a host with `host_bytes` of memory.
    #[must_use]
    pub fn of_host(host_bytes: u64) -> Self {
        let bytes = usize::try_from(host_bytes / HOST_DIVISOR).unwrap_or(usize::MAX);
        Self {
            free: Arc::new(Semaphore::new(bytes.min(Semaphore::MAX_PERMITS))),
        }
    }

    /// Reserves the memory of a request without its body; `None` if the budget is
    /// exhausted.
    #[must_use]
    pub fn reserve(&self) -> Option<Reservation> {
        let permit = Arc::clone(&self.free).try_acquire_many_owned(REQUEST_BYTES);
        Some(Reservation {
            permit: permit.ok()?,
        })
    }

    /// Adds `bytes` to a reservation; returns whether the budget allowed it.
    #[must_use]
    pub fn grow(&self, reservation: &mut Reservation, bytes: usize) -> bool {
        let Ok(bytes) = u32::try_from(bytes) else {
            return false;
        };
        let more = Arc::clone(&self.free).try_acquire_many_owned(bytes);
        more.map(|more| reservation.permit.merge(more)).is_ok()
    }

    /// Returns the number of free bytes.
    #[must_use]
    pub fn free(&self) -> usize {
        self.free.available_permits()
    }
}
