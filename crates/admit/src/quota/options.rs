//! Configuration of the exchange of caps.

use std::time::Duration;

/// Configuration of an [`crate::quota::Exchange`].
#[derive(Debug, Clone, PartialEq)]
pub struct Options {
    /// Among how many entries a cap is divided.
    pub homes: usize,
    /// How long a borrower may use a loan, from when it asked.
    pub lease: Duration,
    /// How long a home counts a loan, from when it granted it. It has to
    /// exceed `lease` by more than clocks drift in that time.
    pub hold: Duration,
    /// The most asks that an entry sends in one tick.
    pub asks: usize,
    /// How long an unanswered ask waits before another home is asked.
    pub patience: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            homes: 8,
            lease: Duration::from_secs(3),
            hold: Duration::from_millis(3_300),
            asks: 16,
            patience: Duration::from_millis(200),
        }
    }
}
