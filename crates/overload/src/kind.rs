//! The kinds of requests that wait for free capacity.

use cactusnotch_derive::record;
use derive_more::Display;

/// The kind of a request that needs free capacity.
#[record]
#[derive(Copy, Display)]
pub enum Kind {
    /// A caller's first attempt, which can still be on time.
    #[display("first")]
    First,
    /// A first attempt that can no longer be on time.
    #[display("overdue")]
    Overdue,
    /// A caller's retry after a refusal.
    #[display("returned")]
    Returned,
    /// A stream whose endpoint was lost.
    #[display("moved")]
    Moved,
}
