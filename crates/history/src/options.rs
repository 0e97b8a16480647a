//! Options for retries and for compaction.

use std::time::Duration;

/// Options for retries and for compaction.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// The number of calls without an answer after which a submission gives up.
    pub attempts: u32,
    /// The number of lost races for a revision after which a submission gives up.
    pub races: u32,
    /// The maximum delay before the first retry. It doubles with each retry, and
    /// the actual delay is a random fraction of it.
    pub pause: Duration,
    /// The number of entries before the snapshot that are retained.
    pub retained: u64,
    /// The number of entries between two compactions.
    pub compaction_interval: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            attempts: 8,
            races: 64,
            pause: Duration::from_millis(100),
            retained: 64,
            compaction_interval: 64,
        }
    }
}
