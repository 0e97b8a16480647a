//! The limits of an organisation at this entry.

use cactusnotch_derive::record;

/// The current limits of an organisation at this entry; `None` means unlimited.
#[record]
#[derive(Copy, Default)]
pub struct Allowance {
    /// The maximum number of concurrent requests.
    pub concurrency: Option<u32>,
    /// The maximum number of requests started per second.
    pub rate: Option<u32>,
}
