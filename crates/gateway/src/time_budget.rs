//! Estimates the time budget of each route's callers, to detect returning callers.

use std::time::Duration;

use cactusnotch_base::Table;

use crate::route::Route;

/// A caller whose stated time budget is below this fraction of the route's longest has
/// spent time on an earlier attempt. First attempts state at least 0.85 of the longest;
/// callers that were refused return after a sixth of it or more.
const RETURNED_RATIO: f64 = 0.84;
/// The factor by which the longest time budget decays with each request. If the callers
/// of a route reduce their time budget, they count as first attempts again after some
/// hundred requests.
const DECAY: f64 = 0.9995;

/// The longest time budget that callers of each route state.
#[derive(Debug, Default)]
pub struct TimeBudgets {
    longest: Table<String, Duration>,
}

impl TimeBudgets {
    /// Drops the routes that are not in `routes`.
    pub fn retain_routes(&mut self, routes: &[Route]) {
        let mut names: Vec<_> = routes.iter().map(|route| route.name.as_str()).collect();
        names.sort_unstable();
        self.longest
            .retain(|name, _| names.binary_search(&name.as_str()).is_ok());
    }

    /// Records a caller's stated time budget; returns whether the caller was refused
    /// before.
    pub fn has_returned(&mut self, route: &str, stated: Option<Duration>) -> bool {
        let Some(stated) = stated else {
            return false;
        };
        let longest = self
            .longest
            .get_or_insert_with(route.to_owned(), Duration::default);
        *longest = longest.mul_f64(DECAY).max(stated);
        stated < longest.mul_f64(RETURNED_RATIO)
    }
}
