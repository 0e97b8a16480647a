//! The right to act for a limited time.

use std::sync::Arc;

use cactusnotch_base::clock::Instant;
use cactusnotch_base::number::Fence;

/// The right to act under a lease until [`Guard::deadline`].
///
/// A release is written only once all guards of the lease have been dropped or
/// have expired.
#[derive(Debug)]
pub struct Guard {
    fence: Fence,
    deadline: Instant,
    _use: Arc<()>,
}

impl Guard {
    pub(crate) fn new(fence: Fence, deadline: Instant, usage: &Arc<()>) -> Self {
        Self {
            fence,
            deadline,
            _use: Arc::clone(usage),
        }
    }

    /// Returns the fencing number to send with each order.
    #[must_use]
    pub const fn fence(&self) -> Fence {
        self.fence
    }

    /// Returns the instant at which the right expires.
    #[must_use]
    pub const fn deadline(&self) -> Instant {
        self.deadline
    }

    /// Returns whether the right is still held at `now`. It must be checked
    /// again before each order, since the process may have been paused in
    /// between.
    #[must_use]
    pub fn check(&self, now: Instant) -> bool {
        now < self.deadline
    }
}
