//! How much the other entries grow when this one does.

/// The weight of a round in the moving averages.
const WEIGHT: f64 = 0.3;
/// The requests for each slot by which both averages are raised, so that small changes say
/// little.
const PRIOR: f64 = 0.03;

/// Compares the growth of the other entries' requests, as reported, with the growth that was
/// assumed for them: the demand may come from a few entries only. All numbers are requests
/// for each slot.
#[derive(Debug, Clone, Default, PartialEq)]
pub(crate) struct Growth {
    /// The moving average of the growth that was assumed.
    assumed: f64,
    /// The moving average of the growth that was reported.
    reported: f64,
    /// The growth assumed in the past round, which the next reports show.
    latest: f64,
}

impl Growth {
    /// Records a round: the change that reports show, and the growth in the past round if all
    /// other entries have grown as this one.
    pub(crate) fn record(&mut self, change: f64, assumed: f64) {
        self.reported += (change.max(0.0) - self.reported) * WEIGHT;
        self.assumed += (self.latest - self.assumed) * WEIGHT;
        self.latest = assumed;
    }

    /// Returns the fraction of the assumed growth that reports have shown, at most 1.
    pub(crate) fn part(&self) -> f64 {
        ((self.reported + PRIOR) / (self.assumed + PRIOR)).min(1.0)
    }
}
