//! How long the callers of each route wait.

use std::time::Duration;

use cactusnotch_base::Table;

use crate::route::Route;

/// The part of the longest wait of a route's callers below which one has spent
/// time elsewhere before. Callers that come for the first time state at least 0.85
/// of it; those that were refused come back after a sixth of it or more.
const RETURNED_PART: f64 = 0.84;
/// What is kept of the longest wait with each request, so that callers who state
/// less than former ones are known for first attempts after some hundred.
const KEPT: f64 = 0.9995;

/// How long the callers of each route wait, by what they state.
#[derive(Debug, Default)]
pub struct TimeBudgets {
    longest: Table<String, Duration>,
}

impl TimeBudgets {
    /// Forgets the routes that are no longer there.
    pub fn retain_routes(&mut self, routes: &[Route]) {
        let mut names: Vec<_> = routes.iter().map(|route| route.name.as_str()).collect();
        names.sort_unstable();
        self.longest
            .retain(|name, _| names.binary_search(&name.as_str()).is_ok());
    }

    /// Takes what a caller states; returns whether it was refused before.
    pub fn has_returned(&mut self, route: &str, stated: Option<Duration>) -> bool {
        let Some(stated) = stated else {
            return false;
        };
        let longest = self
            .longest
            .get_or_insert_with(route.to_owned(), Duration::default);
        *longest = longest.mul_f64(KEPT).max(stated);
        stated < longest.mul_f64(RETURNED_PART)
    }
}
