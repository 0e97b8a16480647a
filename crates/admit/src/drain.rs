//! The measured rate at which a queue drains.

use std::time::Duration;

use cactusnotch_base::clock::Instant;

/// The rate at which a queue drains while requests wait in it.
///
/// Time without waiting requests does not show how fast the queue could drain,
/// so it is not counted.
#[derive(Debug, Clone)]
pub(crate) struct DrainRate {
    rate: f64,
    at: Option<Instant>,
}

impl DrainRate {
    pub(crate) const fn new(rate: f64) -> Self {
        Self { rate, at: None }
    }

    /// Adds the number of requests started since the last call; `waited` is
    /// whether requests have been waiting since then.
    pub(crate) fn observe(&mut self, started: u32, waited: bool, window: Duration, now: Instant) {
        let since = self.at.replace(now);
        let Some(since) = since.filter(|_| waited) else {
            return;
        };
        let window = window.as_secs_f64();
        let time = now.saturating_duration_since(since).as_secs_f64();
        let decay = (-time / window).exp();
        let gain = if time > 0.0 {
            (1.0 - decay) / time
        } else {
            1.0 / window
        };
        self.rate = self.rate * decay + f64::from(started) * gain;
    }

    /// Returns the number of requests started per second.
    pub(crate) const fn rate(&self) -> f64 {
        self.rate
    }
}
