//! Waits for a moment on a host that may be suspended.
//!
//! The runtime's timers stand still while the host sleeps, the clock doesn't: what became due
//! meanwhile is looked at again once it is noticed that the host has slept.

use std::cell::Cell;
use std::time::Duration;

use cactusnotch_base::clock::{self, Instant};
use cactusnotch_telemetry::metric;
use tokio::sync::Notify;

use crate::journal::millis;

/// The sleep from which on a host counts as suspended: more than the time that clocks read
/// one after the other are apart, and less than matters to any bound here.
const LEAST: Duration = Duration::from_millis(100);

/// Notices that the host has slept.
#[derive(Debug)]
pub struct SuspendDetector {
    /// What the clock and the runtime's timers showed when they were last compared.
    seen: Cell<(Instant, tokio::time::Instant)>,
    slept: Notify,
}

impl Default for SuspendDetector {
    fn default() -> Self {
        Self {
            seen: Cell::new(read()),
            slept: Notify::new(),
        }
    }
}

impl SuspendDetector {
    /// Compares the clock with the runtime's timers; tells whether the host has slept since
    /// that was done last.
    pub fn check(&self) -> bool {
        let (clock, timers) = read();
        let (clock_before, timers_before) = self.seen.replace((clock, timers));
        let passed = clock.saturating_duration_since(clock_before);
        let slept = passed.saturating_sub(timers.saturating_duration_since(timers_before));
        if slept < LEAST {
            return false;
        }
        tracing::warn!(ms = millis(slept), "host was asleep");
        metrics::counter!(metric::HOST_SLEEPS).increment(1);
        self.slept.notify_waiters();
        true
    }

    /// Waits until `moment`.
    pub async fn wait_until(&self, moment: Instant) {
        loop {
            let slept = self.slept.notified();
            let left = moment.left();
            if left.is_zero() {
                return;
            }
            tokio::select! {
                () = slept => {}
                () = tokio::time::sleep(left) => {}
            }
        }
    }
}

#[expect(
    clippy::disallowed_methods,
    reason = "the timers' clock is what is compared with"
)]
fn read() -> (Instant, tokio::time::Instant) {
    (clock::now(), tokio::time::Instant::now())
}
