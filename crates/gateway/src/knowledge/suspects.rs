//! What an entry knows of requests that end endpoints.

use std::net::SocketAddr;
use std::time::Duration;

use cactusnotch_base::clock::{self, Instant};
use cactusnotch_telemetry::metric;

use super::SharedState;
use crate::content::Fingerprint;
use crate::journal::millis;
use crate::notifications::Notification;
use crate::peer;
use crate::quarantine::{Crash, Verdict};
use crate::record::Write;
use crate::request::Call;
use crate::store::QuarantineRecord;

impl SharedState {
    /// Returns how long a request is held still, if it is. No request's content is worked
    /// out while none is remembered.
    pub(crate) fn quarantined_for(&self, call: &Call, now: Instant) -> Option<Duration> {
        let quarantine = self.quarantine.borrow();
        if quarantine.is_empty() {
            return None;
        }
        quarantine.time_left(call.fingerprint(), now)
    }

    /// Takes that a request was served whole, which none is that ends its endpoints.
    pub(crate) fn note_served(&self, call: &Call) {
        if self.quarantine.borrow().is_empty() {
            return;
        }
        let content = call.fingerprint();
        let Some(held) = self.clear(content) else {
            return;
        };
        if held {
            self.notifications
                .broadcast_repeatedly(Notification::Served(content));
            self.records.push(Write::Erase(content));
        } else {
            self.notifications.broadcast(Notification::Served(content));
        }
    }

    /// Takes that this entry has seen an endpoint end under a request, and has the others
    /// told.
    pub(crate) fn note_crash(&self, content: Fingerprint, crash: &Crash, now: Instant) {
        let verdict = self.record_crash(content, crash, now);
        if verdict == Verdict::Known {
            return;
        }
        self.notifications
            .broadcast_repeatedly(Notification::Crash(content, crash.clone()));
        if verdict == Verdict::Held {
            self.write_record(content);
        }
    }

    /// Takes that the entry at `from` tells of a crash. What is new is told to a few others;
    /// an entry that has just started gets what it can't know, that the request is held.
    pub(crate) fn apply_crash_report(&self, told: &peer::Crash, from: SocketAddr, now: Instant) {
        let ago = |millis: u32| now.checked_sub(Duration::from_millis(millis.into()));
        let Some((sent, at)) = ago(told.sent_ago).zip(ago(told.ago)) else {
            return;
        };
        let crash = Crash {
            endpoint: told.endpoint.clone(),
            sent,
            at,
        };
        let verdict = self.record_crash(told.content, &crash, now);
        if matches!(verdict, Verdict::Suspected | Verdict::Held) {
            self.notifications
                .send_to_few(Notification::Crash(told.content, crash));
        }
        // The one that saw it may have ended, or not know of the crash before it.
        if verdict == Verdict::Held && self.peers.borrow().ready_before(now) == 0 {
            self.write_record(told.content);
        }
        let left = self.quarantine.borrow().time_left(told.content, now);
        if let (Verdict::Held | Verdict::HeldBefore, Some(left)) = (verdict, left) {
            let held = Notification::Held(told.content, now + left);
            self.notifications.send_to(held, from);
        }
    }

    /// Takes that another entry holds a request, which ended an endpoint here.
    pub(crate) fn apply_quarantine_report(&self, held: &peer::Quarantined, now: Instant) {
        let left = Duration::from_millis(held.left.into());
        if self.apply_quarantine(held.content, left, "another entry holds it", now) {
            self.write_record(held.content);
        }
    }

    /// Takes that a request was served whole at another entry.
    pub(crate) fn apply_served_report(&self, content: Fingerprint) {
        self.clear(content);
    }

    /// Takes the store's record of a request that is held.
    pub(super) fn apply_quarantine_record(&self, hold: &QuarantineRecord, now: Instant) {
        let left = hold.until.duration_since(clock::wall());
        let Ok(left) = left else {
            if self.peers.borrow().ready_before(now) == 0 {
                self.records.push(Write::Erase(hold.content));
            }
            return;
        };
        // A listing that was old, or a copy from before the record was removed.
        if self.quarantine.borrow().is_cleared(hold.content, now) {
            self.records.push(Write::Erase(hold.content));
            return;
        }
        self.apply_quarantine(hold.content, left, "the store has it on record", now);
        self.quarantine.borrow_mut().note_record(hold.content, true);
    }

    /// Has what is held and missing from the store's records written there, by the first
    /// entry of a data centre: the one that was to do so may have ended.
    pub(super) fn complete_records(&self, now: Instant) {
        let held: Vec<_> = self.quarantine.borrow().quarantined(now).collect();
        if held.is_empty() || self.peers.borrow().ready_before(now) > 0 {
            return;
        }
        for (content, _) in held {
            if self.quarantine.borrow_mut().note_record(content, false) {
                self.write_record(content);
            }
        }
    }

    fn record_crash(&self, content: Fingerprint, crash: &Crash, now: Instant) -> Verdict {
        let verdict = self
            .quarantine
            .borrow_mut()
            .record_crash(content, crash, now);
        if verdict != Verdict::Known {
            let endpoint = crash.endpoint.as_str();
            let ago = millis(now.saturating_duration_since(crash.at));
            tracing::warn!(%content, endpoint, ago_ms = ago, ?verdict, "endpoint ended under a request");
        }
        self.gauge_held();
        verdict
    }

    fn apply_quarantine(
        &self,
        content: Fingerprint,
        left: Duration,
        cause: &str,
        now: Instant,
    ) -> bool {
        let new = self.quarantine.borrow_mut().add(content, left, now);
        if new {
            tracing::warn!(%content, left_ms = millis(left), cause, "request held");
        }
        self.gauge_held();
        new
    }

    fn clear(&self, content: Fingerprint) -> Option<bool> {
        let held = self.quarantine.borrow_mut().clear(content, clock::now())?;
        tracing::info!(%content, held, "request cleared: it was served");
        self.gauge_held();
        Some(held)
    }

    fn write_record(&self, content: Fingerprint) {
        self.records.push(Write::Keep(content));
    }

    fn gauge_held(&self) {
        let held = self.quarantine.borrow().quarantined_len();
        metrics::gauge!(metric::GATEWAY_HELD).set(u32::try_from(held).unwrap_or(u32::MAX));
    }

    /// Forgets what is past its time.
    pub(super) fn forget_suspects(&self, now: Instant) {
        self.quarantine.borrow_mut().expire(now);
        self.gauge_held();
    }
}
