//! Configuration of retries and hedging.

use std::time::Duration;

use crate::Backoff;

/// Configuration of retries and hedging.
#[derive(Debug, Clone, PartialEq)]
pub struct Options {
    /// The maximum number of retries per first attempt, over all requests.
    pub ratio: f64,
    /// The maximum burst of retries.
    pub burst: f64,
    /// The maximum number of attempts per request, including the first.
    pub attempts: u32,
    /// The delays between attempts.
    pub backoff: Backoff,
    /// The minimum remaining time for another attempt.
    pub min_time_left: Duration,
    /// The maximum number of hedged attempts per first attempt, over all requests.
    pub hedge_ratio: f64,
    /// The maximum burst of hedged attempts.
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
