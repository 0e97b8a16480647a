//! The state of a response that its peer has not acknowledged.

use std::cell::Cell;

use cactusnotch_base::clock::Instant;
use tokio::sync::Notify;

use super::Outcome;
use crate::in_flight::InFlight;

/// A response that its peer has not acknowledged.
#[derive(Default)]
pub(super) struct Undelivered {
    /// Until when the peer may take to read it; `None` while it is not known.
    pub(super) due: Cell<Option<Instant>>,
    /// Whether the HTTP library has taken the whole body.
    pub(super) is_handed_over: Cell<bool>,
    /// The number of bytes written to the connection when the kernel had taken the whole response.
    pub(super) written: Cell<Option<u64>>,
    pub(super) outcome: Cell<Option<Outcome>>,
    /// Wakes the receipt's owner.
    pub(super) changed: Notify,
    /// Counts the request as in flight until then.
    pub(super) in_flight: Cell<Option<InFlight>>,
}

impl Undelivered {
    /// Marks that the kernel has taken the response, when `bytes` were written to the connection.
    pub(super) fn mark_written(&self, bytes: u64) {
        self.written.set(Some(bytes));
        self.changed.notify_one();
    }

    /// Ends the response.
    pub(super) fn resolve(&self, outcome: Outcome) {
        self.outcome.set(Some(outcome));
        self.changed.notify_one();
        self.in_flight.set(None);
    }
}
