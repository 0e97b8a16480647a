//! Handles data centres that operators have evacuated.

use std::time::Duration;

use cactusnotch_base::clock::Instant;
use cactusnotch_position::Position;
use cactusnotch_telemetry::metric;

use super::SharedState;
use crate::confirmation::REWRITE_TIME;
use crate::evacuations::{Evacuations, Report};
use crate::journal::millis;
use crate::peer::{Evacuated, State};
use crate::store::Change;

/// The fraction of the bound after which the entry that watches for its data centre calls the
/// store for a confirmation, since its watch may hang.
const CHECK_PART: f64 = 0.32;
/// The fraction of the bound after which an entry without a confirmation from others calls the
/// store itself. Entries poll each other twice a second; the rest of the bound covers the next
/// check and a call that times out.
const CONFIRM_PART: f64 = 0.64;

impl SharedState {
    /// Returns whether evacuations are followed but have not been read yet.
    pub(crate) fn lacks_evacuations(&self) -> bool {
        self.options.borrow().evacuation_bound.is_some() && !self.evacuations.borrow().are_known()
    }

    /// Returns the time between two confirmations at the entry that watches evacuations.
    pub(crate) fn evacuation_check_interval(&self) -> Duration {
        self.evacuation_part(CHECK_PART)
    }

    /// Returns whether this entry has to call the store for a confirmation of the evacuations.
    pub(crate) fn evacuations_need_confirmation(&self, now: Instant) -> bool {
        let age = self.evacuations.borrow().age(now);
        age.is_none_or(|age| age >= self.evacuation_part(CONFIRM_PART))
    }

    fn evacuation_part(&self, part: f64) -> Duration {
        let bound = self.options.borrow().evacuation_bound.unwrap_or_default();
        bound.mul_f64(part)
    }

    /// Applies a listing of evacuations.
    pub(super) fn replace_evacuations(&self, changes: &[Change], position: Position, now: Instant) {
        let all = changes.iter().map(|change| change.name.clone());
        let names: Vec<_> = all.filter(|name| !name.is_empty()).collect();
        let rewritten = self
            .eras
            .unsettled_since()
            .map(|since| since + REWRITE_TIME);
        let rewritten = rewritten.filter(|&until| until > now);
        self.change_evacuations("the store", now, |evacuations| {
            evacuations.replace(&names, position, rewritten);
        });
    }

    /// Applies the start or the end of a data centre's evacuation.
    pub(super) fn set_evacuated(&self, name: &str, is_evacuated: bool, now: Instant) {
        self.change_evacuations("the store", now, |evacuations| {
            if is_evacuated {
                evacuations.insert(name);
            } else {
                evacuations.remove(name);
            }
        });
    }

    /// Applies another entry's report of evacuations.
    pub(crate) fn apply_peer_evacuations(&self, state: &State, now: Instant) {
        let Some(Evacuated {
            position,
            data_centres,
            age,
        }) = &state.evacuated
        else {
            return;
        };
        if position.era() != self.eras.current() {
            return;
        }
        let age = age.map(|age| Duration::from_millis(age.into()));
        let confirmed = age.and_then(|age| self.polls.borrow().confirmed_at(state.round, age));
        let report = Report {
            position: *position,
            data_centres: data_centres.clone(),
        };
        self.change_evacuations("another entry", now, |evacuations| {
            evacuations.apply_report(&report, confirmed);
        });
    }

    /// Returns the report of evacuations for other entries.
    pub(crate) fn evacuated(&self, now: Instant) -> Option<Evacuated> {
        let evacuations = self.evacuations.borrow();
        let Report {
            position,
            data_centres,
        } = evacuations.report()?;
        let age = evacuations.age(now);
        Some(Evacuated {
            position,
            data_centres,
            age: age.and_then(|age| u32::try_from(age.as_millis()).ok()),
        })
    }

    /// Removes evacuations that the store has lost and that were not written again in time.
    pub(super) fn expire_evacuations(&self, now: Instant) {
        self.change_evacuations("an older copy of the store", now, |evacuations| {
            evacuations.expire(now);
        });
    }

    /// Changes the cached evacuations, and updates the routers and the metric if they differ.
    fn change_evacuations(
        &self,
        source: &str,
        now: Instant,
        change: impl FnOnce(&mut Evacuations),
    ) {
        let mut evacuations = self.evacuations.borrow_mut();
        let before: Vec<_> = evacuations.names().map(str::to_owned).collect();
        change(&mut evacuations);
        let after: Vec<_> = evacuations.names().map(str::to_owned).collect();
        if before == after {
            return;
        }
        let (position, age) = (evacuations.position(), evacuations.age(now));
        drop(evacuations);
        let age_ms = age.map(millis);
        for data_centre in after.iter().filter(|name| !before.contains(name)) {
            tracing::info!(data_centre, source, %position, age_ms, "data centre evacuated");
        }
        for data_centre in before.iter().filter(|name| !after.contains(name)) {
            tracing::info!(data_centre, source, %position, age_ms, "evacuation of a data centre over");
        }
        let count = u32::try_from(after.len()).unwrap_or(u32::MAX);
        metrics::gauge!(metric::GATEWAY_EVACUATED).set(count);
        self.fleet.borrow_mut().set_evacuated(after);
    }
}
