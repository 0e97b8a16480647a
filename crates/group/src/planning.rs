//! Schedules the planner and evaluates its plans.

use cactusnotch_base::clock::Instant;
use cactusnotch_base::name::Process;
use cactusnotch_placement::{Map as Content, Planner, State};
use cactusnotch_popularity::Report;
use cactusnotch_telemetry::metric;

use crate::Planning;

/// Schedules the planner and evaluates its plans.
#[derive(Debug)]
pub(crate) struct Plans {
    planner: Planner,
    options: Planning,
    due: Instant,
}

impl Plans {
    pub(crate) fn new(options: &Planning, now: Instant) -> Self {
        Self {
            planner: Planner::new(options.planner),
            options: options.clone(),
            due: now + options.budget.interval,
        }
    }

    /// Returns when the next plan is due.
    pub(crate) const fn due(&self) -> Instant {
        self.due
    }

    /// Passes the reports of a rank's steps to the planner.
    pub(crate) fn observe(&mut self, reports: &[Report], now: Instant) {
        for report in reports {
            if let Err(error) = self.planner.observe(report, now) {
                metrics::counter!(metric::GROUP_REPORTS_UNCOUNTED).increment(1);
                tracing::debug!(%error, "report not counted");
            }
        }
    }

    /// Returns the map that should replace `current`, if the planner proposes
    /// one, and schedules the next plan.
    pub(crate) fn next(
        &mut self,
        current: Option<&Content>,
        seats: &[Option<Process>],
        now: Instant,
    ) -> Option<Content> {
        self.due = now + self.options.budget.interval;
        let current = current?;
        let states: Vec<State> = seats
            .iter()
            .map(|seat| match seat {
                Some(_) => State::Loaded,
                None => State::Gone,
            })
            .collect();
        let Planning {
            weights, budget, ..
        } = &self.options;
        let plan = match self.planner.plan(current, &states, weights, budget, now) {
            Ok(plan) => plan?,
            Err(error) => {
                tracing::warn!(%error, "planning a map failed");
                return None;
            }
        };
        let loads = budget.max_loads(self.options.planner.bytes);
        let count = plan.moves.len().min(loads.max(plan.required));
        tracing::info!(
            moves = count,
            before = plan.predicted.before,
            after = plan.predicted.after,
            "switch to a new map planned"
        );
        plan.map_after(count).ok()
    }
}
