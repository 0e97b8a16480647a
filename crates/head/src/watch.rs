//! State that the owner of a connection shares with its [`Stream`](crate::Stream).

use std::sync::atomic::{AtomicBool, Ordering};

use crate::fault::Fault;

/// State that the owner of a connection shares with its [`Stream`](crate::Stream).
#[derive(Debug, Default)]
pub struct Watch {
    awaits_head: AtomicBool,
    has_fault: AtomicBool,
}

impl Watch {
    /// Marks the next bytes as the head of a response. The owner calls it before each request.
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
