//! How estimates are made.

use std::time::Duration;

use cactusnotch_derive::message;

/// How estimates are made.
#[message]
#[derive(Copy)]
pub struct Options {
    /// The steps over which the quick estimate forgets, by a factor of e. It
    /// serves to tell where the fast one is heading.
    pub quick: f64,
    /// The steps over which the fast estimate forgets, by a factor of e.
    pub fast: f64,
    /// The steps over which the slow estimate forgets, by a factor of e.
    pub slow: f64,
    /// How many standard deviations the fast estimate must stand away from the
    /// slow one for a burst to begin. A burst ends at half of this.
    pub threshold: f64,
    /// How far, as a part of the slow rate, the fast estimate must stand away
    /// for a burst to begin. A burst ends at half of this.
    pub contrast: f64,
    /// How many steps ahead of the newest report a rate is wanted in a burst:
    /// those until a plan is in force, and half of those it stays.
    pub lead: f64,
    /// The least relative standard deviation of an estimate, for noise that
    /// lasts longer than a report.
    pub floor: f64,
    /// The time a rank is busy in each step whatever the tokens it is given.
    pub fixed: Duration,
}

impl Default for Options {
    /// Returns options for steps of about five milliseconds: the fast estimate
    /// forgets over five seconds and the slow one over five minutes.
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
