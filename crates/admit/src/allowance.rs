//! What an organisation may use at this entry.

use cactusnotch_derive::record;

/// What an organisation may use at this entry now; `None` for no limit.
#[record]
#[derive(Copy, Default)]
pub struct Allowance {
    /// Requests that run at once.
    pub concurrency: Option<u32>,
    /// Requests that start within a second.
    pub rate: Option<u32>,
}
