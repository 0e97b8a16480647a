//! Which entries watch the store on behalf of others.

use cactusnotch_base::clock::Instant;

use super::SharedState;

/// Number of entries per data centre that watch endpoints and configuration and forward
/// changes to the others. With two, one may crash without changes being missed.
pub(super) const WATCHERS: u32 = 2;

impl SharedState {
    /// Returns whether this entry watches the store on behalf of its data centre.
    pub(crate) fn watches(&self, now: Instant) -> bool {
        self.peers.borrow().ready_before(now) < WATCHERS
    }

    /// Returns whether this entry watches evacuations on behalf of its data centre.
    pub(crate) fn watches_evacuations(&self, now: Instant) -> bool {
        self.peers.borrow().ready_before(now) == 0
    }
}
