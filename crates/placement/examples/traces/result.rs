//! What a run measured.

use hdrhistogram::Histogram;

use crate::policy::Policy;
use crate::trace::Kind;

/// Ratios are recorded in units of 1 / [`UNIT`].
const UNIT: f64 = 10_000.0;

/// Percentiles of a ratio.
#[derive(Debug, Clone)]
pub struct Ratio(Histogram<u64>);

impl Ratio {
    /// Creates an empty record.
    pub fn new() -> Self {
        Self(Histogram::new(4).expect("four digits are allowed"))
    }

    /// Notes one second.
    pub fn record(&mut self, ratio: f64) {
        self.0
            .record((ratio * UNIT) as u64)
            .expect("the histogram grows");
    }

    /// Returns the value below which this part of the seconds lies.
    pub fn at(&self, quantile: f64) -> f64 {
        self.0.value_at_quantile(quantile) as f64 / UNIT
    }

    /// Adds another record.
    pub fn add(&mut self, other: &Self) {
        self.0.add(&other.0).expect("the histogram grows");
    }
}

/// What a run measured.
#[derive(Debug, Clone)]
pub struct Summary {
    pub kind: Kind,
    pub policy: Policy,
    /// The slowest rank's time over that of perfect balance, by layer.
    pub skew: Ratio,
    /// The skew outside the first seconds after an onset.
    pub calm: Ratio,
    /// The skew later than [`SETTLED`](crate::simulation::SETTLED) seconds
    /// after an onset.
    pub settled: Ratio,
    /// The skew over its lower bound, outside the first seconds.
    pub over: Ratio,
    /// The lower bound on skew.
    pub bound: Ratio,
    /// The busiest rank's time over the mean, summed over the layers first.
    pub whole: Ratio,
    pub moves: u64,
    pub bytes: u64,
    /// Steps in which some rank loaded weights, or a switch held up the group.
    pub disturbed: f64,
    pub switches: u64,
    /// Seconds in which some expert had no live replica.
    pub stalled: u64,
}

impl Summary {
    /// Creates the summary of a run that has not begun.
    pub fn new(kind: Kind, policy: Policy) -> Self {
        Self {
            kind,
            policy,
            skew: Ratio::new(),
            calm: Ratio::new(),
            settled: Ratio::new(),
            over: Ratio::new(),
            bound: Ratio::new(),
            whole: Ratio::new(),
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
        self.calm.add(&other.calm);
        self.settled.add(&other.settled);
        self.over.add(&other.over);
        self.bound.add(&other.bound);
        self.whole.add(&other.whole);
        self.moves += other.moves;
        self.bytes += other.bytes;
        self.disturbed += other.disturbed;
        self.switches += other.switches;
        self.stalled += other.stalled;
    }
}
