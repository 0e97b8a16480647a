//! Handles a store that was restored from an older copy.

use std::time::Duration;

use cactusnotch_base::clock::Instant;
use cactusnotch_position::{Era, Position};
use cactusnotch_telemetry::metric;
use rand::Rng;

use super::SharedState;
use crate::confirmation::REWRITE_TIME;
use crate::journal::millis;
use crate::record::Write;
use crate::refusal::Refusal;
use crate::renewal;

/// Pause before the next attempt if the store could not confirm the configuration, because
/// operators have not yet written again what the restore lost.
const CONFIRM_PAUSE: Duration = Duration::from_millis(500);
/// Time over which the entries that don't watch the store spread their attempts. The watching
/// entries report their result to them within half a second.
const CONFIRM_SPREAD: Duration = Duration::from_millis(700);

impl SharedState {
    /// Records that another entry has observed the store up to `position`. If that is of a
    /// later era, this entry has to call the store.
    pub(crate) fn note_position(&self, position: Position, now: Instant) {
        self.eras.record_report(position.era(), now);
        self.lag.observe(position);
    }

    /// Adapts the state to the store's first answer of a new era. What is missing from the
    /// restored copy may be written again, as after an outage, and what this entry had written
    /// may be lost.
    pub(super) fn adapt_to_era(&self, now: Instant) {
        let era = self.eras.current();
        if era == self.applied_era.get() {
            return;
        }
        self.applied_era.set(era);
        let Some(since) = self.eras.unsettled_since() else {
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

    /// Records that the store has returned a version of the configuration at `position`.
    pub(super) fn note_shown(&self, position: Position, version: u64) {
        let mut shown = self.shown.get();
        shown.record(position.era(), version);
        self.shown.set(shown);
    }

    /// Handles an answer of the store, up to `position`, to a call that was sent at `sent_at`.
    /// It confirms that the configuration is the latest one, unless the store may have lost a
    /// later one.
    pub(crate) fn confirm_configuration(&self, position: Position, sent_at: Instant) {
        self.position.set(self.position.get().newest(position));
        self.lag.observe(position);
        let known = self
            .configuration
            .borrow()
            .as_ref()
            .map_or(0, |c| c.version);
        let era = position.era();
        let unsettled_since = self.eras.unsettled_since();
        let shown = self.shown.get();
        if shown.confirms(known, era, sent_at, unsettled_since) {
            self.freshness.borrow_mut().renew(sent_at);
            self.settle_era(era, sent_at);
            return;
        }
        self.unsettled.notify_one();
        tracing::info!(%position, known, ?shown, "answer proves nothing yet");
        let settled = unsettled_since.map(|since| since + REWRITE_TIME);
        let jitter: f64 = self.rng.borrow_mut().random();
        let spread = if self.watches(sent_at) {
            Duration::ZERO
        } else {
            CONFIRM_SPREAD.mul_f64(jitter)
        };
        let soonest = settled.unwrap_or(sent_at).max(sent_at + CONFIRM_PAUSE);
        self.unconfirmed_until.set(Some(soonest + spread));
    }

    /// Records that the configuration has been confirmed in `era`. If the era was unsettled it
    /// is settled now, and the first entry of a data centre writes a record of that for
    /// entries that start later.
    fn settle_era(&self, era: Era, now: Instant) {
        if self.eras.settle(era) && self.peers.borrow().ready_before(now) == 0 {
            self.records.push(Write::Settle(era));
        }
    }

    /// Applies the store's record that an entry has confirmed the configuration in `era`. A
    /// record of an earlier era comes from the older copy and is ignored.
    pub(super) fn apply_settled_era(&self, era: Era, now: Instant) {
        if !self.eras.settle(era) {
            return;
        }
        tracing::info!(era = era.0, "era of the store is no young one");
        if self.unconfirmed_until.get().is_some() {
            self.unconfirmed_until.set(Some(now));
        }
    }

    /// Returns the refusal of a request whose key can't be checked since the configuration may be
    /// outdated.
    pub(crate) fn refusal_not_fresh(&self, now: Instant) -> Refusal {
        let wait = self.time_to_confirmation(now);
        wait.map_or(Refusal::NotFresh, |wait| Refusal::Unconfirmed {
            wait: wait + renewal::CALL_TIME,
        })
    }

    /// Returns the time until the store can next confirm the configuration, if that is known.
    pub(crate) fn time_to_confirmation(&self, now: Instant) -> Option<Duration> {
        let until = self.unconfirmed_until.get().filter(|until| *until > now);
        until.map(|until| until - now)
    }

    /// Returns whether the store is to be called for a confirmation: the last one is too old,
    /// or there is none because the configuration was listed in an unsettled era. The store is
    /// not called before it can give one.
    pub(crate) fn needs_confirmation(&self, now: Instant) -> bool {
        let unconfirmed_until = self.unconfirmed_until.get();
        let age = self.freshness.borrow().age(now);
        let is_due = age.map_or(unconfirmed_until.is_some(), |age| {
            age >= self.confirm_after(now)
        });
        is_due && unconfirmed_until.is_none_or(|until| until <= now)
    }
}
