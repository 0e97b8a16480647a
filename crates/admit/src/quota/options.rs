//! Configuration of the exchange of quota.

use std::time::Duration;

/// Configuration of an [`crate::quota::Exchange`].
#[derive(Debug, Clone, PartialEq)]
pub struct Options {
    /// The approximate amount of a cap that one lender lends; a larger cap has more lenders.
    pub lender_size: u32,
    /// The minimum number of lenders of a cap, to tolerate the failure of one.
    pub lenders_min: u32,
    /// How long a borrower may use lent quota, counted from when it sent the ask.
    pub lease: Duration,
    /// How long a lender counts lent quota, from when it granted it. It must
    /// exceed `lease` by more than the clock drift in that time.
    pub hold: Duration,
    /// How long a borrower keeps quota without demand.
    pub retention: Duration,
    /// How many lenders are asked for more of a cap within `retention`.
    pub attempts: u32,
    /// The maximum number of asks that an entry sends per tick.
    pub asks: usize,
    /// How long an ask may remain unanswered before another lender is asked.
    pub answer_timeout: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            lender_size: 16,
            lenders_min: 2,
            lease: Duration::from_secs(3),
            hold: Duration::from_millis(3_300),
            retention: Duration::from_millis(500),
            attempts: 3,
            asks: 16,
            answer_timeout: Duration::from_millis(200),
        }
    }
}
