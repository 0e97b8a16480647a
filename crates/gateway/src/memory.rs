//! The memory that an entry has for requests and answers under way.

use std::sync::Arc;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// What a request holds beside its body: the pieces of its answer that wait for the caller,
/// as much again in the buffers of each of its two connections.
const REQUEST_BYTES: u32 = 3 * ANSWER_BYTES;
/// The most bytes of an answer that wait for a slow caller before the endpoint is made to
/// wait. A whole stream of short events fits, so that its endpoint is free sooner.
pub const ANSWER_BYTES: u32 = 16 * 1024;
/// The part of a host's memory that requests and answers may take: one in so many. The
/// configuration, idle connections and what the allocator keeps need the rest.
const PART: u64 = 2;

/// The memory that an entry has for requests and answers under way.
#[derive(Debug)]
pub struct Memory {
    free: Arc<Semaphore>,
}

/// A part of it, which is free again once this is dropped.
#[derive(Debug)]
pub struct Reservation {
    permit: OwnedSemaphorePermit,
}

impl Memory {
    /// Creates the memory of an entry on a host that has `host_bytes`.
    #[must_use]
    pub fn of_host(host_bytes: u64) -> Self {
        let bytes = usize::try_from(host_bytes / PART).unwrap_or(usize::MAX);
        Self {
            free: Arc::new(Semaphore::new(bytes.min(Semaphore::MAX_PERMITS))),
        }
    }

    /// Takes what a request needs without its body; `None` if there is no room.
    #[must_use]
    pub fn reserve(&self) -> Option<Reservation> {
        let permit = Arc::clone(&self.free).try_acquire_many_owned(REQUEST_BYTES);
        Some(Reservation {
            permit: permit.ok()?,
        })
    }

    /// Adds so many bytes to what a request holds; tells whether there was room.
    #[must_use]
    pub fn grow(&self, held: &mut Reservation, bytes: usize) -> bool {
        let Ok(bytes) = u32::try_from(bytes) else {
            return false;
        };
        let more = Arc::clone(&self.free).try_acquire_many_owned(bytes);
        more.map(|more| held.permit.merge(more)).is_ok()
    }

    /// Returns the bytes that are free.
    #[must_use]
    pub fn free(&self) -> usize {
        self.free.available_permits()
    }
}
