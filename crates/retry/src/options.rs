//! Configuration of repeated attempts.

use std::time::Duration;

use crate::Backoff;

/// Configuration of repeated attempts.
#[derive(Debug, Clone, PartialEq)]
pub struct Options {
    /// Repeated attempts for each first one, over all requests.
    pub ratio: f64,
    /// Repeated attempts that may come together.
    pub burst: f64,
    /// The most attempts for one request, the first included.
    pub attempts: u32,
    /// The delays between attempts.
    pub backoff: Backoff,
    /// The shortest time left in which another attempt makes sense.
    pub min_time_left: Duration,
    /// Hedged attempts for each first one, over all requests.
    pub hedge_ratio: f64,
    /// Hedged attempts that may come together.
    pub hedge_burst: f64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            ratio: 0.1,
            burst: 10.0,
            attempts: 3,
            backoff: Backoff::default(),
            min_time_left: Duration::from_millis(20),
            hedge_ratio: 0.02,
            hedge_burst: 2.0,
        }
    }
}
