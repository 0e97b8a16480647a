//! Handles requests that crash endpoints.

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
    /// Returns for how much longer a request is quarantined, `None` if it is not. The
    /// fingerprint is not computed while the quarantine is empty.
    pub(crate) fn quarantined_for(&self, call: &Call, now: Instant) -> Option<Duration> {
        let quarantine = self.quarantine.borrow();
        if quarantine.is_empty() {
            return None;
        }
        quarantine.time_left(call.fingerprint(), now)
    }

    /// Records that a request was served completely, which clears it of suspicion.
    pub(crate) fn note_served(&self, call: &Call) {
        if self.quarantine.borrow().is_empty() {
            return;
        }
        let fingerprint = call.fingerprint();
        let Some(held) = self.clear(fingerprint) else {
            return;
        };
        if held {
            self.notifications
                .broadcast_repeatedly(Notification::Served(fingerprint));
            self.records.push(Write::Erase(fingerprint));
        } else {
            self.notifications
                .broadcast(Notification::Served(fingerprint));
        }
    }

    /// Records that this entry observed an endpoint's crash during a request, and notifies
    /// the others.
    pub(crate) fn note_crash(&self, fingerprint: Fingerprint, crash: &Crash, now: Instant) {
        let verdict = self.record_crash(fingerprint, crash, now);
        if verdict == Verdict::Known {
            return;
        }
        self.notifications
            .broadcast_repeatedly(Notification::Crash(fingerprint, crash.clone()));
        if verdict == Verdict::Held {
            self.write_record(fingerprint);
        }
    }

    /// Applies a crash report of the entry at `from`. A new crash is forwarded to a few
    /// other entries. If the request is quarantined, the sender is notified of that, since
    /// an entry that started recently can't have observed it.
    pub(crate) fn apply_crash_report(&self, report: &peer::Crash, from: SocketAddr, now: Instant) {
        let ago = |millis: u32| now.checked_sub(Duration::from_millis(millis.into()));
        let Some((sent, at)) = ago(report.sent_ago).zip(ago(report.ago)) else {
            return;
        };
        let crash = Crash {
            endpoint: report.endpoint.clone(),
            sent,
            at,
        };
        let verdict = self.record_crash(report.content, &crash, now);
        if matches!(verdict, Verdict::Suspected | Verdict::Held) {
            self.notifications
                .send_to_few(Notification::Crash(report.content, crash));
        }
        // The entry that observed the crash may have terminated, or may lack the earlier
        // crash.
        if verdict == Verdict::Held && self.peers.borrow().ready_before(now) == 0 {
            self.write_record(report.content);
        }
        let left = self.quarantine.borrow().time_left(report.content, now);
        if let (Verdict::Held | Verdict::HeldBefore, Some(left)) = (verdict, left) {
            let held = Notification::Held(report.content, now + left);
            self.notifications.send_to(held, from);
        }
    }

    /// Applies another entry's report that a request is quarantined, which crashed an
    /// endpoint here.
    pub(crate) fn apply_quarantine_report(&self, held: &peer::Quarantined, now: Instant) {
        let left = Duration::from_millis(held.left.into());
        if self.apply_quarantine(held.content, left, "another entry holds it", now) {
            self.write_record(held.content);
        }
    }

    /// Applies another entry's report that a request was served completely.
    pub(crate) fn apply_served_report(&self, fingerprint: Fingerprint) {
        self.clear(fingerprint);
    }

    /// Applies the store's record of a quarantined request.
    pub(super) fn apply_quarantine_record(&self, record: &QuarantineRecord, now: Instant) {
        let left = record.until.duration_since(clock::wall());
        let Ok(left) = left else {
            if self.peers.borrow().ready_before(now) == 0 {
                self.records.push(Write::Erase(record.content));
            }
            return;
        };
        // The listing may be stale, or a copy from before the record was removed.
        if self.quarantine.borrow().is_cleared(record.content, now) {
            self.records.push(Write::Erase(record.content));
            return;
        }
        self.apply_quarantine(record.content, left, "the store has it on record", now);
        self.quarantine
            .borrow_mut()
            .note_record(record.content, true);
    }

    /// Writes the records of quarantined requests that are missing from the store. The first
    /// entry of a data centre does so, because the entry that should have written them may
    /// have terminated.
    pub(super) fn complete_records(&self, now: Instant) {
        let held: Vec<_> = self.quarantine.borrow().all(now).collect();
        if held.is_empty() || self.peers.borrow().ready_before(now) > 0 {
            return;
        }
        for (fingerprint, _) in held {
            if self.quarantine.borrow_mut().note_record(fingerprint, false) {
                self.write_record(fingerprint);
            }
        }
    }

    fn record_crash(&self, fingerprint: Fingerprint, crash: &Crash, now: Instant) -> Verdict {
        let verdict = self
            .quarantine
            .borrow_mut()
            .record_crash(fingerprint, crash, now);
        if verdict != Verdict::Known {
            let endpoint = crash.endpoint.as_str();
            let ago = millis(now.saturating_duration_since(crash.at));
            tracing::warn!(content = %fingerprint, endpoint, ago_ms = ago, ?verdict, "endpoint ended under a request");
        }
        self.gauge_held();
        verdict
    }

    fn apply_quarantine(
        &self,
        fingerprint: Fingerprint,
        left: Duration,
        cause: &str,
        now: Instant,
    ) -> bool {
        let new = self.quarantine.borrow_mut().add(fingerprint, left, now);
        if new {
            tracing::warn!(content = %fingerprint, left_ms = millis(left), cause, "request held");
        }
        self.gauge_held();
        new
    }

    fn clear(&self, fingerprint: Fingerprint) -> Option<bool> {
        let held = self
            .quarantine
            .borrow_mut()
            .clear(fingerprint, clock::now())?;
        tracing::info!(content = %fingerprint, held, "request cleared: it was served");
        self.gauge_held();
        Some(held)
    }

    fn write_record(&self, fingerprint: Fingerprint) {
        self.records.push(Write::Keep(fingerprint));
    }

    fn gauge_held(&self) {
        let held = self.quarantine.borrow().quarantined_len();
        metrics::gauge!(metric::GATEWAY_HELD).set(u32::try_from(held).unwrap_or(u32::MAX));
    }

    /// Removes expired suspects and quarantines.
    pub(super) fn forget_suspects(&self, now: Instant) {
        self.quarantine.borrow_mut().expire(now);
        self.gauge_held();
    }
}
