//! Intervals, time-outs and limits of membership.

use std::time::Duration;

use cactusnotch_derive::record;

/// Intervals, time-outs and limits of membership.
#[record]
pub struct Options {
    /// How long a suspected process has to refute before it counts as dead.
    pub refute_timeout: Duration,
    /// How long a process counts as dead before the head of its data centre
    /// removes its record from the roster; far longer than any lease.
    pub expiry: Duration,
    /// The largest share of a data centre's records that may expire, in percent;
    /// beyond it, an operator has to remove them.
    pub expiry_percent: usize,
    /// The pause after a first failed call; it doubles with each failure.
    pub retry_min: Duration,
    /// The longest pause after a failed call.
    pub retry_max: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            refute_timeout: Duration::from_secs(4),
            expiry: Duration::from_mins(1),
            expiry_percent: 25,
            retry_min: Duration::from_millis(500),
            retry_max: Duration::from_secs(20),
        }
    }
}
