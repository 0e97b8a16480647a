//! What a connection's owner and its [`Stream`](crate::Stream) tell each other.

use std::sync::atomic::{AtomicBool, Ordering};

use crate::fault::Fault;

/// What a connection's owner and its [`Stream`](crate::Stream) tell each other.
#[derive(Debug, Default)]
pub struct Watch {
    awaits_head: AtomicBool,
    has_fault: AtomicBool,
}

impl Watch {
    /// Announces that the next bytes are the head of a response. A call belongs before each
    /// request.
    pub fn expect_head(&self) {
        self.awaits_head.store(true, Ordering::Relaxed);
    }

    /// Returns why the connection has failed, if a head was the cause.
    #[must_use]
    pub fn fault(&self) -> Option<Fault> {
        let has_fault = self.has_fault.load(Ordering::Relaxed);
        has_fault.then_some(Fault::LineEnd)
    }

    pub(crate) fn take_expected(&self) -> bool {
        self.awaits_head.swap(false, Ordering::Relaxed)
    }

    pub(crate) fn record_fault(&self) {
        self.has_fault.store(true, Ordering::Relaxed);
    }
}
