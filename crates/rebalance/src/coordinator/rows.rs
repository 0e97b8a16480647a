//! Evaluates the status reports of all ranks.

use std::time::Duration;

use cactusnotch_base::clock::Instant;

use super::{Coordinator, Row};
use crate::Slowdown;
use crate::state::Maps;

/// How long the status report of a rank is valid. Ranks repeat it several times a second.
const STATUS_LIFETIME: Duration = Duration::from_millis(1_500);
/// A fill of all slots, in hundredths.
const FULL: u16 = 100;

impl Row {
    fn is_fresh(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.at) < STATUS_LIFETIME
    }
}

impl Coordinator {
    /// Returns the maps of all ranks if the status of each is recent.
    pub(super) fn fresh_maps(&self, now: Instant) -> Option<Vec<Maps>> {
        let maps = |row: &Option<Row>| {
            row.as_ref()
                .filter(|row| row.is_fresh(now))
                .map(|row| row.status.maps)
        };
        self.rows.iter().map(maps).collect()
    }

    /// Returns the slowdown of the slowest rank.
    #[must_use]
    pub fn slowest(&self) -> Slowdown {
        let slowdowns = self.rows.iter().flatten().map(|row| row.status.pace);
        slowdowns.max().unwrap_or_default()
    }

    /// Returns the slowdown factor of each rank.
    pub(super) fn slowdowns(&self) -> Vec<f64> {
        let slowdown = |row: &Option<Row>| row.as_ref().map_or(1.0, |row| row.status.pace.factor());
        self.rows.iter().map(slowdown).collect()
    }

    /// Returns the number of running and waiting requests for each slot of the group.
    pub(super) fn utilisation(&self) -> f64 {
        let fills = || self.rows.iter().flatten().map(|row| row.status.fill);
        let count = u32::try_from(fills().count()).unwrap_or(u32::MAX).max(1);
        fills().map(f64::from).sum::<f64>() / (100.0 * f64::from(count))
    }

    /// Returns the mean number of running requests for each slot, `None` without a recent
    /// report. A rank runs no more requests than it has slots; the others wait.
    pub(super) fn running(&self, now: Instant) -> Option<f64> {
        let fresh = self.rows.iter().flatten().filter(|row| row.is_fresh(now));
        let (mut count, mut sum) = (0.0, 0.0);
        for row in fresh {
            count += 1.0;
            sum += f64::from(row.status.fill.min(FULL));
        }
        (count > 0.0).then(|| sum / (count * f64::from(FULL)))
    }
}
