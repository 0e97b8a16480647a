//! Configuration of the exchange of caps.

use std::time::Duration;

/// Configuration of an [`crate::quota::Exchange`].
#[derive(Debug, Clone, PartialEq)]
pub struct Options {
    /// How much of a cap one home lends, about; a larger cap has more homes.
    pub lender_size: u32,
    /// The fewest homes of a cap, so that one of them can fail.
    pub lenders_min: u32,
    /// How long a borrower may use a loan, from when it asked.
    pub lease: Duration,
    /// How long a home counts a loan, from when it granted it. It has to
    /// exceed `lease` by more than clocks drift in that time.
    pub hold: Duration,
    /// How long a borrower keeps what it has no use for.
    pub retention: Duration,
    /// How many homes are asked for more of a cap within `retention`.
    pub attempts: u32,
    /// The most asks that an entry sends in one tick.
    pub asks: usize,
    /// How long an unanswered ask waits before another home is asked.
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
