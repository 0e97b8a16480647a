//! The load of an endpoint.

use cactusnotch_derive::number;

/// The load of an endpoint.
#[number]
pub struct Load {
    /// The number of running and waiting requests.
    pub requests: u32,
    /// The number of prompt tokens not yet processed.
    pub backlog: u32,
}

impl Load {
    /// Returns this load minus `part`, saturating at zero.
    #[must_use]
    pub const fn without(self, part: Self) -> Self {
        Self {
            requests: self.requests.saturating_sub(part.requests),
            backlog: self.backlog.saturating_sub(part.backlog),
        }
    }
}
