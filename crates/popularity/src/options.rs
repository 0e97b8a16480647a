//! The parameters of the estimates.

use std::time::Duration;

use cactusnotch_derive::message;

/// The parameters of the estimates.
#[message]
#[derive(Copy)]
pub struct Options {
    /// The steps in which the quick estimate decays by a factor of e. It is used
    /// to extrapolate the fast one.
    pub quick: f64,
    /// The steps in which the fast estimate decays by a factor of e.
    pub fast: f64,
    /// The steps in which the slow estimate decays by a factor of e.
    pub slow: f64,
    /// The number of standard deviations by which the fast estimate must differ
    /// from the slow one for a burst to begin. A burst ends at half of this.
    pub threshold: f64,
    /// The difference from the slow rate, relative to it, that the fast estimate
    /// must reach for a burst to begin. A burst ends at half of this.
    pub contrast: f64,
    /// The number of steps ahead of the newest report for which the rate is
    /// extrapolated in a burst: the steps until a plan is in force, and half of
    /// those for which it stays in force.
    pub lead: f64,
    /// The minimum relative standard deviation of an estimate. It covers noise
    /// that lasts longer than one report.
    pub floor: f64,
    /// The time for which a rank is busy in each step regardless of its tokens.
    pub fixed: Duration,
}

impl Default for Options {
    /// Returns options for steps of about five milliseconds: the fast estimate
    /// decays over five seconds and the slow one over five minutes.
    fn default() -> Self {
        Self {
            quick: 250.0,
            fast: 1_000.0,
            slow: 60_000.0,
            threshold: 4.0,
            contrast: 0.25,
            lead: 1_500.0,
            floor: 0.02,
            fixed: Duration::ZERO,
        }
    }
}
