//! Confirmation that the cached configuration is the latest one.

use std::net::SocketAddr;
use std::time::Duration;

use cactusnotch_base::clock::Instant;

use super::SharedState;
use crate::peer::State;

impl SharedState {
    /// Applies another entry's state of the store, and its confirmation if this entry has the
    /// confirmed version of the configuration or a later one: nothing newer than the confirmed
    /// one had been accepted at that time.
    pub(crate) fn apply_confirmation(&self, state: &State, from: SocketAddr, now: Instant) {
        self.note_position(state.known, now);
        let known = self.configuration.borrow().as_ref().map(|c| c.version);
        if known.is_some_and(|known| known < state.version) {
            self.lag.note_newer(state.version, from);
        }
        let is_covered = state.version > 0 && self.has_version(state.version);
        let age = state
            .proof_age
            .filter(|_| is_covered)
            .map(|age| Duration::from_millis(age.into()));
        let confirmed = age.and_then(|age| self.polls.borrow().confirmed_at(state.round, age));
        if let Some(confirmed) = confirmed {
            self.freshness.borrow_mut().renew(confirmed);
        }
    }

    /// Returns whether the cached configuration has `version` or a later one.
    pub(crate) fn has_version(&self, version: u64) -> bool {
        let known = self.configuration.borrow();
        known.as_ref().is_some_and(|known| known.version >= version)
    }

    /// Returns the age from which this entry renews its confirmation by a call
    /// to the store. The first entry of a data centre renews early enough for
    /// the others to get the confirmation from it in time.
    pub(crate) fn confirm_after(&self, now: Instant) -> Duration {
        let before = self.peers.borrow().ready_before(now);
        let options = self.options.borrow();
        let leaving = options.leaving_bound.div_f64(CONFIRM_LEAVING);
        let bound = options
            .revocation_bound
            .map_or(leaving, |bound| bound.min(leaving));
        let later = CONFIRM_STEP * f64::from(before.min(CONFIRM_STEPS));
        let part = if before == 0 {
            CONFIRM_FIRST
        } else {
            CONFIRM_OTHERS + later
        };
        bound.mul_f64(part)
    }
}

/// The fractions of the bound after which an entry renews its confirmation: the
/// first ready entry of a data centre, and the others, each later by one step.
/// Entries poll each other every 0.5 s and therefore usually receive the first
/// one's confirmation before their own is as old. The bound is the one on
/// revoked keys, or less if leaving endpoints have to be observed sooner: a
/// confirmation also shows whether a watch hangs.
const CONFIRM_FIRST: f64 = 0.18;
const CONFIRM_OTHERS: f64 = 0.29;
const CONFIRM_STEP: f64 = 0.015;
const CONFIRM_STEPS: u32 = 3;
/// The fraction of the bound within which all entries have a confirmation,
/// including the steps, one check interval and one call.
const CONFIRM_LEAVING: f64 = 0.4;
