//! Load reports.

use cactusnotch_derive::message;

/// How busy an engine was.
#[message]
#[derive(Copy, Default, Eq)]
pub struct Load {
    /// The number of requests in the batch.
    pub running: usize,
    /// The number of requests that wait for a slot.
    pub waiting: usize,
    /// The largest number of requests in the batch.
    pub slots: usize,
    /// The number of tokens in the prefix cache.
    pub cache_tokens: usize,
}
