//! The measurements of a run.

use hdrhistogram::Histogram;

use crate::policy::Policy;
use crate::trace::Kind;

/// Ratios are recorded in units of 1 / [`UNIT`].
const UNIT: f64 = 10_000.0;

/// The distribution of a ratio.
#[derive(Debug, Clone)]
pub struct Ratio(Histogram<u64>);

impl Ratio {
    /// Creates an empty distribution.
    pub fn new() -> Self {
        Self(Histogram::new(4).expect("four digits are allowed"))
    }

    /// Records the ratio of one second.
    pub fn record(&mut self, ratio: f64) {
        self.0
            .record((ratio * UNIT) as u64)
            .expect("the histogram grows");
    }

    /// Returns the value at this quantile of the seconds.
    pub fn at(&self, quantile: f64) -> f64 {
        self.0.value_at_quantile(quantile) as f64 / UNIT
    }

    /// Adds another distribution.
    pub fn add(&mut self, other: &Self) {
        self.0.add(&other.0).expect("the histogram grows");
    }
}

/// The measurements of a run.
#[derive(Debug, Clone)]
pub struct Summary {
    pub kind: Kind,
    pub policy: Policy,
    /// The slowest rank's time over that of perfect balance, summed over the
    /// layers.
    pub skew: Ratio,
    /// The skew later than [`ONSET_SECONDS`](crate::simulation::ONSET_SECONDS)
    /// after an onset.
    pub after_onset: Ratio,
    /// The skew later than
    /// [`SETTLED_SECONDS`](crate::simulation::SETTLED_SECONDS) after an onset.
    pub settled: Ratio,
    /// The skew over its lower bound, in the same seconds as `after_onset`.
    pub over_bound: Ratio,
    /// The lower bound on skew.
    pub bound: Ratio,
    /// The busiest rank's time over the mean, each summed over the layers.
    pub step_skew: Ratio,
    pub moves: u64,
    pub bytes: u64,
    /// The number of steps in which some rank loaded weights or a switch
    /// stalled the group.
    pub disturbed: f64,
    pub switches: u64,
    /// The number of seconds in which some expert had no live replica.
    pub stalled: u64,
}

impl Summary {
    /// Creates an empty summary.
    pub fn new(kind: Kind, policy: Policy) -> Self {
        Self {
            kind,
            policy,
            skew: Ratio::new(),
            after_onset: Ratio::new(),
            settled: Ratio::new(),
            over_bound: Ratio::new(),
            bound: Ratio::new(),
            step_skew: Ratio::new(),
            moves: 0,
            bytes: 0,
            disturbed: 0.0,
            switches: 0,
            stalled: 0,
        }
    }

    /// Adds another run of the same policy.
    pub fn add(&mut self, other: &Self) {
        self.skew.add(&other.skew);
        self.after_onset.add(&other.after_onset);
        self.settled.add(&other.settled);
        self.over_bound.add(&other.over_bound);
        self.bound.add(&other.bound);
        self.step_skew.add(&other.step_skew);
        self.moves += other.moves;
        self.bytes += other.bytes;
        self.disturbed += other.disturbed;
        self.switches += other.switches;
        self.stalled += other.stalled;
    }
}
