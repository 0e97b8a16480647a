//! The weight-store budget of a plan.

use std::time::Duration;

use cactusnotch_derive::message;

/// The share of the weight store's bandwidth that one plan may use. All groups
/// load from the same store.
#[message]
#[derive(Copy, Eq)]
pub struct Budget {
    /// The group's share of the store's rate, in bytes per second.
    pub rate: u64,
    /// The time until the next plan.
    pub interval: Duration,
}

impl Budget {
    /// Returns how many loads of `bytes` each fit into the interval.
    #[must_use]
    pub fn max_loads(&self, bytes: u64) -> usize {
        let total = u128::from(self.rate) * self.interval.as_millis() / 1_000;
        usize::try_from(total / u128::from(bytes.max(1))).unwrap_or(usize::MAX)
    }

    /// Returns the seconds that a load of `bytes` takes.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "sizes are below 2^53 bytes")]
    pub fn load_seconds(&self, bytes: u64) -> f64 {
        bytes as f64 / self.rate.max(1) as f64
    }
}
