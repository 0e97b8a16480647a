//! Handles outages of the store.

use std::time::Duration;

use cactusnotch_base::clock::{self, Instant};
use rand::Rng;

use super::SharedState;
use super::watches::WATCHERS;
use crate::journal::millis;
use crate::peer::State;
use crate::store::{Error, Kind};
use crate::store_health::Role;

impl SharedState {
    /// Returns the time since the end of the store's last outage, in milliseconds.
    pub(crate) fn returned_ago(&self, now: Instant) -> Option<u32> {
        let ago = self.outage.get().ended_ago(now)?;
        u32::try_from(ago.as_millis()).ok()
    }

    /// Waits until this task may call the store: immediately, unless the store is lost.
    pub(crate) async fn wait_for_store_slot(&self) {
        loop {
            let answered = self.answered.notified();
            let Some(left) = self.store_health.borrow_mut().wait(clock::now()) else {
                return;
            };
            tokio::select! {
                () = answered => {}
                () = tokio::time::sleep(left) => {}
            }
        }
    }

    /// Records a failed call to the store.
    pub(crate) fn note_store_failure(&self, kind: Kind, error: &Error, now: Instant) {
        let before = self.peers.borrow().alive_before(now);
        let role = if before.is_some_and(|before| before < WATCHERS) {
            Role::Asks
        } else {
            Role::Relies
        };
        let jitter = self.rng.borrow_mut().random();
        if self.store_health.borrow_mut().fail(role, now, jitter) {
            tracing::warn!(%kind, %error, ?role, heard_before = before, "store lost");
        }
    }

    /// Records an answer of the store.
    pub(crate) fn note_store_answer(&self, kind: Kind, now: Instant) {
        self.adapt_to_era(now);
        let Some(lost) = self.store_health.borrow_mut().answer(now) else {
            return;
        };
        tracing::info!(%kind, ms = millis(lost), "store regained");
        self.answered.notify_waiters();
        self.note_store_return(now);
    }

    /// Applies another entry's report that the store is available again.
    pub(crate) fn note_return(&self, state: &State, now: Instant) {
        let ago = state
            .returned_ago
            .map(|ago| Duration::from_millis(ago.into()));
        let Some(returned) = ago.and_then(|ago| now.checked_sub(ago)) else {
            return;
        };
        if self.store_health.borrow_mut().note_return(returned) {
            tracing::info!(
                ms = ago.map(millis),
                "store regained, as another entry says"
            );
            self.answered.notify_waiters();
            self.note_store_return(returned);
        }
    }

    /// Records that the store is available again after an outage.
    pub(crate) fn note_store_return(&self, now: Instant) {
        let mut outage = self.outage.get();
        outage.end(now);
        self.outage.set(outage);
        self.eras.record_return(now);
    }
}
