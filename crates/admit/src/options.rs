//! Configuration of admission.

use std::time::Duration;

/// Configuration of a [`crate::Gate`].
#[derive(Debug, Clone, PartialEq)]
pub struct Options {
    /// The most requests that wait in one rank of one organisation.
    pub lane_max: usize,
    /// The most requests that wait in all.
    pub queue_max: usize,
    /// The requests a second that the queue is expected to drain, until that
    /// has been measured.
    pub drain_rate: f64,
    /// The time over which the drain is measured.
    pub window: Duration,
    /// The shortest time after which a refused caller is asked to return.
    pub retry_min: Duration,
    /// The longest such time.
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
