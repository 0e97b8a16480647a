//! How calls are repeated and the order is trimmed.

use std::time::Duration;

/// How calls are repeated and the order is trimmed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// The calls without an answer after which a submission gives up.
    pub attempts: u32,
    /// The races that a submission loses before it gives up.
    pub races: u32,
    /// The longest pause before the first repetition; it doubles each time,
    /// and a random part of it is taken.
    pub pause: Duration,
    /// The entries that stay behind the snapshot.
    pub keep: u64,
    /// The entries after which the snapshot is renewed and old entries are
    /// trimmed.
    pub fold_every: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            attempts: 8,
            races: 64,
            pause: Duration::from_millis(100),
            keep: 64,
            fold_every: 64,
        }
    }
}
