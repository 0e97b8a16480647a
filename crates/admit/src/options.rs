//! Configuration of admission control.

use std::time::Duration;

/// Configuration of a [`crate::Gate`].
#[derive(Debug, Clone, PartialEq)]
pub struct Options {
    /// The maximum number of waiting requests per organisation and priority.
    pub lane_max: usize,
    /// The maximum number of waiting requests in total.
    pub queue_max: usize,
    /// The assumed drain rate in requests per second, until it has been
    /// measured.
    pub drain_rate: f64,
    /// The time over which the drain rate is averaged.
    pub window: Duration,
    /// The minimum time after which a refused caller is asked to retry, before jitter.
    pub retry_min: Duration,
    /// The maximum time after which a refused caller is asked to retry, before jitter.
    pub retry_max: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            lane_max: 64,
            queue_max: 512,
            drain_rate: 20.0,
            window: Duration::from_secs(2),
            retry_min: Duration::from_millis(500),
            retry_max: Duration::from_secs(30),
        }
    }
}
