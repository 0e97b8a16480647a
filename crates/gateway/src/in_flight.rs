//! Counts the requests in flight.

use std::rc::Rc;

use crate::knowledge::SharedState;

/// Counts a request as in flight until it is dropped.
pub(crate) struct InFlight(Rc<SharedState>);

impl InFlight {
    pub(crate) fn new(shared: &Rc<SharedState>) -> Self {
        shared.in_flight.set(shared.in_flight.get() + 1);
        Self(Rc::clone(shared))
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0
            .in_flight
            .set(self.0.in_flight.get().saturating_sub(1));
    }
}
