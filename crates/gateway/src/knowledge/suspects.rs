//! Handles requests, and parts of prompts, that crash endpoints.

use std::net::SocketAddr;
use std::time::Duration;

use cactusnotch_base::clock::{self, Instant};
use cactusnotch_telemetry::metric;

use super::SharedState;
use crate::broken_runs::Unconfirmed;
use crate::content::Fingerprint;
use crate::journal::millis;
use crate::notifications::{Notification, Quarantined};
use crate::peer;
use crate::quarantine::{Accused, Crash, Verdict};
use crate::record::Write;
use crate::request::Call;
use crate::store::{Change, Item, QuarantineRecord};

impl SharedState {
    /// Returns what bars a request and for how much longer, `None` if nothing does. Fingerprints
    /// are not computed while there is no suspect.
    pub(crate) fn quarantined_for(&self, call: &Call, now: Instant) -> Option<Duration> {
        let quarantine = self.quarantine.borrow();
        if quarantine.is_empty() {
            return None;
        }
        let (suspect, left) = quarantine.bar(call.accused(), now)?;
        let id = call.head.id.as_deref();
        tracing::info!(id, %suspect, left_ms = millis(left), "request kept from all endpoints");
        Some(left)
    }

    /// Records that a request was served completely, which clears it of suspicion.
    pub(crate) fn note_served(&self, call: &Call) {
        if !self.quarantine.borrow().is_empty() {
            self.clear_served(call.accused().content);
        }
    }

    /// Records that an endpoint has answered a request for so long that no part of the prompt is
    /// the cause of crashes.
    pub(crate) fn note_parts_served(&self, call: &Call) {
        let now = clock::now();
        for part in call.parts() {
            self.quarantine.borrow_mut().record_answered(*part, now);
            self.clear_served(*part);
        }
    }

    /// Clears a suspect, and notifies the others.
    fn clear_served(&self, fingerprint: Fingerprint) {
        let held_with = self.quarantine.borrow().held_with(fingerprint);
        let Some(held) = self.clear(fingerprint) else {
            return;
        };
        // Their records name it as a companion.
        for part in held_with {
            self.records.push(Write::Erase(part));
            self.records.push(Write::Keep(part));
        }
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
    pub(crate) fn note_crash(&self, accused: &Accused, crash: &Crash, now: Instant) {
        let verdict = self.record_crash(accused, crash, now);
        if verdict == Verdict::Known {
            return;
        }
        self.notifications
            .broadcast_repeatedly(Notification::Crash(accused.clone(), crash.clone()));
        if verdict == Verdict::Held {
            self.write_record(accused.content);
        }
    }

    /// Records a broken run whose endpoint accepts connections: it lives, or has started again. An
    /// endpoint that leaves ends without a crash.
    pub(crate) fn note_broken_run(&self, run: Unconfirmed) {
        if self.fleet.borrow().takes_work(&run.run.endpoint) {
            self.broken_runs.borrow_mut().push(run);
        }
    }

    /// Records the crashes that follow from the registration of `endpoint` at `address`: the
    /// former incarnation ended while it ran requests.
    pub(super) fn confirm_crashes(&self, address: SocketAddr, endpoint: &str, now: Instant) {
        let mut runs = self.broken_runs.borrow_mut();
        let crashed = runs.take_crashed(address, endpoint, now);
        drop(runs);
        for Unconfirmed { run, accused, at } in crashed {
            metrics::counter!(metric::GATEWAY_CRASHES).increment(1);
            let crash = Crash {
                endpoint: run.endpoint,
                sent: run.sent,
                at,
            };
            self.note_crash(&accused, &crash, now);
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
        let accused = Accused {
            content: report.content,
            parts: report.parts.clone(),
        };
        let verdict = self.record_crash(&accused, &crash, now);
        if matches!(verdict, Verdict::Suspected | Verdict::Held) {
            self.notifications
                .send_to_few(Notification::Crash(accused.clone(), crash));
        }
        // The entry that observed the crash may have terminated, or may lack the earlier
        // crash.
        if verdict == Verdict::Held && self.peers.borrow().ready_before(now) == 0 {
            self.write_record(accused.content);
        }
        if !matches!(verdict, Verdict::Held | Verdict::HeldBefore) {
            return;
        }
        for suspect in accused.all() {
            if let Some(notification) = self.quarantine_notification(suspect, now) {
                self.notifications.send_to(notification, from);
            }
        }
    }

    /// Applies another entry's report that a suspect is quarantined.
    pub(crate) fn apply_quarantine_report(&self, report: &peer::Quarantined, now: Instant) {
        let left = Duration::from_millis(report.left.into());
        let (suspect, companions) = (report.content, &report.companions);
        if self.apply_quarantine(suspect, companions, left, "another entry holds it", now) {
            self.write_record(suspect);
        }
    }

    /// Returns the notification of a suspect's quarantine; `None` if it is not quarantined.
    fn quarantine_notification(&self, suspect: Fingerprint, now: Instant) -> Option<Notification> {
        let quarantine = self.quarantine.borrow();
        let left = quarantine.time_left(suspect, now)?;
        Some(Notification::Quarantined(Quarantined {
            suspect,
            companions: quarantine.companions(suspect),
            until: now + left,
        }))
    }

    /// Applies another entry's report that a suspect was served.
    pub(crate) fn apply_served_report(&self, fingerprint: Fingerprint) {
        self.clear(fingerprint);
    }

    /// Applies the records of quarantines in a listing of entries.
    pub(crate) fn apply_quarantine_records(&self, changes: Vec<Change>, now: Instant) {
        for change in changes {
            if let Ok(Some(Item::QuarantineRecord(record))) = change.item {
                self.apply_quarantine_record(&record, now);
            }
        }
    }

    /// Applies the store's record of a quarantined suspect.
    pub(super) fn apply_quarantine_record(&self, record: &QuarantineRecord, now: Instant) {
        let left = record.until.duration_since(clock::wall());
        let Ok(left) = left else {
            if self.peers.borrow().ready_before(now) == 0 {
                self.records.push(Write::Erase(record.fingerprint));
            }
            return;
        };
        // The listing may be stale, or a copy from before the record was removed.
        if self.quarantine.borrow().is_cleared(record.fingerprint, now) {
            self.records.push(Write::Erase(record.fingerprint));
            return;
        }
        let (suspect, companions) = (record.fingerprint, &record.companions);
        self.apply_quarantine(suspect, companions, left, "the store has it on record", now);
        self.quarantine.borrow_mut().note_record(suspect, true);
        // Another entry may have written it before it knew that fewer companions are needed.
        let needed = self.quarantine.borrow().companions(suspect).len();
        if needed < companions.len() && self.peers.borrow().ready_before(now) == 0 {
            self.records.push(Write::Erase(suspect));
            self.write_record(suspect);
        }
    }

    /// Writes the records of quarantined suspects that are missing from the store. The first
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

    fn record_crash(&self, accused: &Accused, crash: &Crash, now: Instant) -> Verdict {
        self.broken_runs
            .borrow_mut()
            .drop_survived(&crash.endpoint, crash.at);
        let verdict = self
            .quarantine
            .borrow_mut()
            .record_crash(accused, crash, now);
        if verdict != Verdict::Known {
            let endpoint = crash.endpoint.as_str();
            let ago = millis(now.saturating_duration_since(crash.at));
            tracing::warn!(content = %accused.content, parts = accused.parts.len(), endpoint, ago_ms = ago, ?verdict, "endpoint ended under a request");
            self.judge_parts(now);
        }
        self.gauge_held();
        verdict
    }

    fn apply_quarantine(
        &self,
        fingerprint: Fingerprint,
        companions: &[Fingerprint],
        left: Duration,
        cause: &str,
        now: Instant,
    ) -> bool {
        let mut quarantine = self.quarantine.borrow_mut();
        let new = quarantine.add(fingerprint, companions, left, now);
        drop(quarantine);
        if new {
            tracing::warn!(content = %fingerprint, left_ms = millis(left), cause, "request held");
        }
        self.gauge_held();
        new
    }

    /// Decides which parts of prompts have caused the crashes that are known by now. The first
    /// entry of a data centre tells all others and the store, since entries that have started
    /// lately lack earlier crashes.
    fn judge_parts(&self, now: Instant) {
        let changes = self.quarantine.borrow_mut().judge_parts(now);
        let is_first = self.peers.borrow().ready_before(now) == 0;
        for part in changes.held {
            let crashes = self.quarantine.borrow().crashes(part);
            tracing::warn!(%part, crashes, "part of prompts held");
        }
        for part in changes.confirmed {
            tracing::warn!(%part, "quarantine of a part of prompts confirmed");
            if is_first {
                self.write_record(part);
                if let Some(notification) = self.quarantine_notification(part, now) {
                    self.notifications.broadcast_repeatedly(notification);
                }
            }
        }
        for part in changes.narrowed {
            tracing::warn!(%part, "quarantine of a part of prompts bars more requests");
            if is_first {
                // The record names the former companions.
                self.records.push(Write::Erase(part));
                self.write_record(part);
                if let Some(notification) = self.quarantine_notification(part, now) {
                    self.notifications.broadcast_repeatedly(notification);
                }
            }
        }
        for part in changes.released {
            tracing::warn!(%part, "part of prompts released, another may have caused its crashes");
            if is_first {
                self.records.push(Write::Erase(part));
                self.notifications
                    .broadcast_repeatedly(Notification::Served(part));
            }
        }
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

    /// Removes expired suspects and quarantines, and judges parts of prompts.
    pub(super) fn forget_suspects(&self, now: Instant) {
        self.quarantine.borrow_mut().expire(now);
        self.judge_parts(now);
        self.gauge_held();
    }
}
