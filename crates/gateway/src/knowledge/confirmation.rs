//! How fresh the configuration is that an entry knows.

use std::net::SocketAddr;
use std::time::Duration;

use cactusnotch_base::clock::Instant;

use super::SharedState;
use crate::peer::State;

impl SharedState {
    /// Takes what another entry states of the store, and its proof if it is of
    /// the same version.
    pub(crate) fn apply_confirmation(&self, state: &State, from: SocketAddr, now: Instant) {
        self.note_position(state.known, now);
        let known = self.configuration.borrow().as_ref().map(|c| c.version);
        if known.is_some_and(|known| known < state.version) {
            self.lag.note_newer(state.version, from);
        }
        let same = known == Some(state.version);
        let age = state
            .proof_age
            .filter(|_| same)
            .map(|age| Duration::from_millis(age.into()));
        let proved = age.and_then(|age| self.polls.borrow().confirmed_at(state.round, age));
        if let Some(proved) = proved {
            self.freshness.borrow_mut().renew(proved);
        }
    }

    /// Tells whether the configuration is of `version` or a later one.
    pub(crate) fn has_version(&self, version: u64) -> bool {
        let known = self.configuration.borrow();
        known.as_ref().is_some_and(|known| known.version >= version)
    }

    /// Returns the age from which this entry gets itself a proof: the first of
    /// its data centre early, so that the others have it from there in time.
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

/// The parts of a bound from which an entry proves what it knows anew: the first
/// ready one of a data centre, and the others, each later by a step. They ask
/// each other every 0.5 s, so that they mostly have the first one's proof before
/// theirs is as old. The bound is that on revoked keys, or less if an endpoint
/// that leaves has to be known sooner: a proof also tells whether a watch hangs.
const CONFIRM_FIRST: f64 = 0.18;
const CONFIRM_OTHERS: f64 = 0.29;
const CONFIRM_STEP: f64 = 0.015;
const CONFIRM_STEPS: u32 = 3;
/// The part of the bound within which all entries have a proof, the steps, a
/// look and a call included.
const CONFIRM_LEAVING: f64 = 0.4;
