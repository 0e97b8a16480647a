//! The causes for which the waiting queue refuses a request.

use cactusnotch_derive::record;
use derive_more::Display;

/// The cause for which the waiting queue refuses a request.
#[record]
#[derive(Copy, Display)]
pub enum Cause {
    /// On arrival, the request was predicted to start after its latest start.
    #[display("hopeless")]
    Hopeless,
    /// No capacity became free by its latest start.
    #[display("expired")]
    Expired,
    /// The queue was full, and the request was the last in its order.
    #[display("full")]
    Full,
}
