//! Waits for the outcome of a response.

use std::rc::Rc;
use std::time::Duration;

use cactusnotch_base::clock::{self, Instant};

use super::{Outcome, Undelivered};
use crate::in_flight::InFlight;

/// How long a peer that answers may take to read a response without a deadline, and at least to
/// read one with a deadline.
const READ_TIME: Duration = Duration::from_secs(2);

/// Waits for the outcome of a response.
pub(crate) struct Receipt(Rc<Undelivered>);

impl Receipt {
    pub(super) const fn new(undelivered: Rc<Undelivered>) -> Self {
        Self(undelivered)
    }

    /// Sets until when the peer may take to read the response.
    pub(crate) fn set_due(&self, due: Instant) {
        self.0.due.set(Some(due.max(clock::now() + READ_TIME)));
    }

    /// Counts the request as in flight until the response has reached the peer or its connection
    /// has ended.
    pub(crate) fn hold(&self, in_flight: InFlight) {
        self.0.in_flight.set(Some(in_flight));
    }

    /// Waits until the kernel has taken the response or its connection has ended.
    pub(crate) async fn written(&self) {
        while self.0.written.get().is_none() && self.0.outcome.get().is_none() {
            self.0.changed.notified().await;
        }
    }

    /// Waits until the response has reached the peer or its connection has ended.
    pub(crate) async fn outcome(&self) -> Outcome {
        loop {
            if let Some(outcome) = self.0.outcome.get() {
                return outcome;
            }
            self.0.changed.notified().await;
        }
    }
}
