//! What an entry does when the store came back from an older copy.

use std::time::Duration;

use cactusnotch_base::clock::Instant;
use cactusnotch_position::{Era, Position};
use cactusnotch_telemetry::metric;
use rand::Rng;

use super::SharedState;
use crate::confirmation::REWRITE_TIME;
use crate::journal::millis;
use crate::record::Write;

/// How long an entry waits until it asks for a proof again which the store could not give,
/// since operators have not written again what it has lost.
const CONFIRM_PAUSE: Duration = Duration::from_millis(500);
/// The time over which entries ask that rely on others: these tell them within half a second.
const CONFIRM_SPREAD: Duration = Duration::from_millis(700);

impl SharedState {
    /// Takes that another entry knows the store up to `position`. Of a newer era that is a
    /// reason to ask the store.
    pub(crate) fn note_position(&self, position: Position, now: Instant) {
        self.eras.hear(position.era(), now);
        self.lag.observe(position);
    }

    /// Takes an answer of the store of a new era: what is missing from the copy may be written
    /// again, as after an outage, and what this entry had written may be gone.
    pub(super) fn adapt_to_era(&self, now: Instant) {
        let era = self.eras.current();
        if era == self.applied_era.get() {
            return;
        }
        self.applied_era.set(era);
        let Some(since) = self.eras.young_since() else {
            return;
        };
        metrics::counter!(metric::GATEWAY_ERAS).increment(1);
        tracing::info!(
            era = era.0,
            endpoints_known = %self.lag.progress().known(),
            configuration_known = %self.position.get(),
            ms = millis(now.saturating_duration_since(since)),
            "beliefs fitted to an era of the store"
        );
        self.note_store_return(since);
        self.quarantine.borrow_mut().forget_records();
    }

    /// Takes that the store has shown a version of the configuration at `position`.
    pub(super) fn note_shown(&self, position: Position, version: u64) {
        let mut shown = self.shown.get();
        shown.record(position.era(), version);
        self.shown.set(shown);
    }

    /// Takes an answer of the store, up to `position`, to what was asked at `asked`: it proves
    /// that the configuration is the newest one, unless the store may have lost that.
    pub(crate) fn confirm_configuration(&self, position: Position, asked: Instant) {
        self.position.set(self.position.get().newest(position));
        self.lag.observe(position);
        let known = self
            .configuration
            .borrow()
            .as_ref()
            .map_or(0, |c| c.version);
        let era = position.era();
        let young_since = self.eras.young_since();
        let shown = self.shown.get();
        if shown.confirms(known, era, asked, young_since) {
            self.freshness.borrow_mut().renew(asked);
            self.settle_era(era, asked);
            return;
        }
        self.unsettled.notify_one();
        tracing::info!(%position, known, ?shown, "answer proves nothing yet");
        let settled = young_since.map(|since| since + REWRITE_TIME);
        let jitter: f64 = self.rng.borrow_mut().random();
        let spread = if self.watches(asked) {
            Duration::ZERO
        } else {
            CONFIRM_SPREAD.mul_f64(jitter)
        };
        let soonest = settled.unwrap_or(asked).max(asked + CONFIRM_PAUSE);
        self.unconfirmed_until.set(Some(soonest + spread));
    }

    /// Takes that the configuration has been proved in `era`: one that was young has settled,
    /// which the first entry of a data centre writes down for those that start.
    fn settle_era(&self, era: Era, now: Instant) {
        if self.eras.settle(era) && self.peers.borrow().ready_before(now) == 0 {
            self.records.push(Write::Settle(era));
        }
    }

    /// Takes the store's record that an entry has proved the configuration in `era`. One of an
    /// era that has ended comes from a copy, and says nothing.
    pub(super) fn apply_settled_era(&self, era: Era, now: Instant) {
        if !self.eras.settle(era) {
            return;
        }
        tracing::info!(era = era.0, "era of the store is no young one");
        if self.unconfirmed_until.get().is_some() {
            self.unconfirmed_until.set(Some(now));
        }
    }

    /// Tells whether the store is to be asked for a proof: the last one is old, or there is
    /// none since the configuration was listed in a young era. It isn't asked before it can
    /// give one.
    pub(crate) fn needs_confirmation(&self, now: Instant) -> bool {
        let unconfirmed_until = self.unconfirmed_until.get();
        let age = self.freshness.borrow().age(now);
        let is_due = age.map_or(unconfirmed_until.is_some(), |age| {
            age >= self.confirm_after(now)
        });
        is_due && unconfirmed_until.is_none_or(|until| until <= now)
    }
}
