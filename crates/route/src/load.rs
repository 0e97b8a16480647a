//! The work that an endpoint holds.

use cactusnotch_derive::number;

/// The work that an endpoint holds.
#[number]
pub struct Load {
    /// The requests that run or wait.
    pub requests: u32,
    /// The prompt tokens that have not been processed yet.
    pub backlog: u32,
}

impl Load {
    /// Returns this load without `part`, at least nothing.
    #[must_use]
    pub const fn without(self, part: Self) -> Self {
        Self {
            requests: self.requests.saturating_sub(part.requests),
            backlog: self.backlog.saturating_sub(part.backlog),
        }
    }
}
