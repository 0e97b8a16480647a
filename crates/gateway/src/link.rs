//! The health of a connection to the store, and the pauses after failures.

use std::time::{Duration, Instant};

use crate::absence::NOTICE_MAX;
use crate::journal::millis;
use crate::store::{CALL_TIMEOUT, Error, Kind};

/// The pause after the first failed call, doubled with each further one. Each
/// call is counted and paid for, refused ones too.
pub(crate) const PAUSE: Duration = Duration::from_millis(60);
/// The longest pause, so that an entry is back soon after the store is.
pub(crate) const PAUSE_MAX: Duration = Duration::from_millis(400);

/// The time for which missing endpoints are used rests on how late an entry may
/// notice the store's return.
const _: () = assert!(PAUSE_MAX.as_millis() + CALL_TIMEOUT.as_millis() <= NOTICE_MAX.as_millis());

/// The health of one task's connection to the store.
#[derive(Debug, Default)]
pub(crate) struct Link {
    lost: Option<Instant>,
    failures: u32,
}

impl Link {
    /// Notes a failure and returns how long to pause.
    pub(crate) fn fail(
        &mut self,
        kind: Kind,
        error: &Error,
        now: Instant,
        jitter: f64,
    ) -> Duration {
        if self.lost.is_none() {
            self.lost = Some(now);
            tracing::warn!(%kind, %error, "store lost");
        }
        self.failures = self.failures.saturating_add(1);
        let factor = 1_u32.checked_shl(self.failures - 1).unwrap_or(u32::MAX);
        PAUSE
            .saturating_mul(factor)
            .min(PAUSE_MAX)
            .mul_f64(0.5 + jitter / 2.0)
    }

    pub(crate) const fn is_lost(&self) -> bool {
        self.lost.is_some()
    }

    /// Notes an answer; returns whether an outage has ended with it.
    pub(crate) fn answer(&mut self, kind: Kind, now: Instant) -> bool {
        self.failures = 0;
        let Some(lost) = self.lost.take() else {
            return false;
        };
        let ms = millis(now.saturating_duration_since(lost));
        tracing::info!(%kind, ms, "store regained");
        true
    }
}
