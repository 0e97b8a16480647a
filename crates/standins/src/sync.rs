//! Locking that goes on after another thread's panic.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks `mutex`, also when a holder has panicked.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
