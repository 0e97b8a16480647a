//! Waits for a point in time on a host that may be suspended.
//!
//! The runtime's timers stand still while the host is suspended, but the clock advances. Once
//! a suspension is detected, all waits are checked again.

use std::cell::Cell;
use std::time::Duration;

use cactusnotch_base::clock::{self, Instant};
use cactusnotch_telemetry::metric;
use tokio::sync::Notify;

use crate::journal::millis;

/// The shortest difference that counts as a suspension. It is longer than the time between
/// two successive clock readings, and short compared with all time bounds in this crate.
const SUSPENSION_MIN: Duration = Duration::from_millis(100);

/// Detects suspensions of the host.
#[derive(Debug)]
pub struct SuspendDetector {
    /// The clock and the runtime's timers at the last comparison.
    last_reading: Cell<(Instant, tokio::time::Instant)>,
    suspended: Notify,
}

impl Default for SuspendDetector {
    fn default() -> Self {
        Self {
            last_reading: Cell::new(read()),
            suspended: Notify::new(),
        }
    }
}

impl SuspendDetector {
    /// Compares the clock with the runtime's timers; returns whether the host was suspended
    /// since the last call.
    pub fn check(&self) -> bool {
        let (clock, timers) = read();
        let (clock_before, timers_before) = self.last_reading.replace((clock, timers));
        let passed = clock.saturating_duration_since(clock_before);
        let suspended = passed.saturating_sub(timers.saturating_duration_since(timers_before));
        if suspended < SUSPENSION_MIN {
            return false;
        }
        tracing::warn!(ms = millis(suspended), "host was asleep");
        metrics::counter!(metric::HOST_SLEEPS).increment(1);
        self.suspended.notify_waiters();
        true
    }

    /// Waits until the clock reaches `moment`.
    pub async fn wait_until(&self, moment: Instant) {
        loop {
            let suspended = self.suspended.notified();
            let left = moment.remaining();
            if left.is_zero() {
                return;
            }
            tokio::select! {
                () = suspended => {}
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
