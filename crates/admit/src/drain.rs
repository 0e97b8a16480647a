//! The measured rate at which a queue drains.

use std::time::Duration;

use cactusnotch_base::clock::Instant;

/// The rate at which a queue drains while something waits in it.
///
/// Time without a backlog says nothing of what could drain, so it does not
/// count.
#[derive(Debug, Clone)]
pub(crate) struct Drain {
    rate: f64,
    at: Option<Instant>,
}

impl Drain {
    pub(crate) const fn new(rate: f64) -> Self {
        Self { rate, at: None }
    }

    /// Adds what was started since the last call; `waited` tells whether
    /// something has waited since then.
    pub(crate) fn observe(&mut self, started: u32, waited: bool, window: Duration, now: Instant) {
        let since = self.at.replace(now);
        let Some(since) = since.filter(|_| waited) else {
            return;
        };
        let window = window.as_secs_f64();
        let time = now.saturating_duration_since(since).as_secs_f64();
        let keep = (-time / window).exp();
        let share = if time > 0.0 {
            (1.0 - keep) / time
        } else {
            1.0 / window
        };
        self.rate = self.rate * keep + f64::from(started) * share;
    }

    /// Returns the requests that are started in a second.
    pub(crate) const fn rate(&self) -> f64 {
        self.rate
    }
}
