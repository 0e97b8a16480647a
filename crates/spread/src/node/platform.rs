//! Calls of a node to the platform.

use std::time::Duration;

use cactusnotch_base::clock::Instant;
use cactusnotch_member::{Delta, Record, registration};
use cactusnotch_objects::object::Version;
use rand::Rng;

use crate::command::{Answer, Call, Command, Ticket};
use crate::node::Node;
use crate::span::Span;
use crate::watch::Purpose;

impl Node {
    /// Handles the result of a call to the platform. An answer that the driver
    /// cannot decode, and a call that timed out, is [`Answer::Unanswered`].
    pub fn on_answer(&mut self, ticket: Ticket, answer: Answer, now: Instant) -> Vec<Command> {
        let mut out = Vec::new();
        self.check_isolation(now);
        let Some(purpose) = self.calls.close(ticket) else {
            return out;
        };
        if purpose == Purpose::Own {
            self.on_own_answer(answer, now);
            return out;
        }
        match answer {
            Answer::Settings(spans) => {
                self.calls.succeed(now);
                self.on_settings(purpose, spans, now, &mut out);
            }
            Answer::Members(delta) => {
                self.calls.succeed(now);
                self.on_members(purpose, delta, now, &mut out);
            }
            Answer::Expired => self.calls.succeed(now),
            Answer::Own(_) | Answer::Unanswered => self.calls.fail(now, &mut self.rng),
        }
        self.make_calls(now, &mut out);
        self.try_join(now);
        out
    }

    fn on_own_answer(&mut self, answer: Answer, now: Instant) {
        let answer = match answer {
            Answer::Own(answer) => answer,
            _ => registration::Answer::Unanswered,
        };
        if answer != registration::Answer::Unanswered {
            self.calls.succeed(now);
        }
        self.registration.answer(answer, now, &mut self.rng);
        self.superseded |= self.registration.superseded();
        self.sync_incarnation(now);
    }

    fn on_settings(
        &mut self,
        purpose: Purpose,
        spans: Vec<Span>,
        now: Instant,
        out: &mut Vec<Command>,
    ) {
        let gap = self.apply_spans(spans, None, now, out);
        let read = purpose == Purpose::ReadSettings;
        // A watch may have skipped a revision. A plain read has not, and a gap
        // after one means that a snapshot is needed.
        self.stale.settings = if read {
            gap
        } else {
            gap || self.stale.settings
        };
        if read && !gap {
            self.join.read = self.join.requested_after;
        }
    }

    fn on_members(&mut self, purpose: Purpose, delta: Delta, now: Instant, out: &mut Vec<Command>) {
        if purpose == Purpose::WatchMembers {
            // A watch may skip changes, so it only triggers a read.
            self.stale.members |= !delta.is_empty();
            return;
        }
        self.stale.members = false;
        let roster = self.journal.roster();
        let (complete, known) = (delta.through, roster.through());
        if delta.after > roster.confirmed() {
            return;
        }
        if !delta.is_empty() && complete > known {
            // Nothing changed between the roster's last change and the read.
            let after = delta.after.min(known);
            let delta = Delta { after, ..delta };
            self.apply_delta(delta.trimmed(), None, now, out);
        }
        self.journal.confirm(complete);
    }

    /// Makes the calls that are due.
    pub(super) fn make_calls(&mut self, now: Instant, out: &mut Vec<Command>) {
        self.call_for_own(now, out);
        if self.watches() {
            self.watch(now, out);
        }
        self.read(now, out);
        if self.topology.is_head() {
            self.expire(now, out);
        }
    }

    fn call_for_own(&mut self, now: Instant, out: &mut Vec<Command>) {
        if self.superseded || !self.calls.may_call(Purpose::Own, now) {
            return;
        }
        if let Some(call) = self.registration.poll(now) {
            out.push(self.calls.open_call(Purpose::Own, Call::Own(call), now));
        }
    }

    fn watch(&mut self, now: Instant, out: &mut Vec<Command>) {
        let wait = self.options.watch_timeout;
        if self.calls.may_call(Purpose::WatchSettings, now) {
            let after = self.log.version();
            let call = Call::Settings { after, wait };
            out.push(self.calls.open_call(Purpose::WatchSettings, call, now));
        }
        if self.calls.may_call(Purpose::WatchMembers, now) {
            let after = self.roster().confirmed();
            let call = Call::Members { after, wait };
            out.push(self.calls.open_call(Purpose::WatchMembers, call, now));
        }
    }

    fn read(&mut self, now: Instant, out: &mut Vec<Command>) {
        let late = self.stale.fallback_at.is_some_and(|at| now >= at);
        if late {
            let pause = self
                .options
                .fallback_delay
                .mul_f64(1.0 + self.rng.random::<f64>());
            self.stale.fallback_at = Some(now + pause);
        }
        self.read_settings(late, now, out);
        self.read_members(late, now, out);
    }

    fn read_settings(&mut self, late: bool, now: Instant, out: &mut Vec<Command>) {
        let registered = self.registration.version();
        let entering = !self.join.complete && registered.is_some();
        let unread = entering && self.join.read != registered;
        let wanted = unread || self.stale.settings || (late && self.log.held() < self.newest);
        if !wanted || !self.calls.may_call(Purpose::ReadSettings, now) {
            return;
        }
        self.join.requested_after = registered;
        let after = if self.stale.settings {
            Version(0)
        } else {
            self.log.version()
        };
        let wait = Duration::ZERO;
        let call = Call::Settings { after, wait };
        out.push(self.calls.open_call(Purpose::ReadSettings, call, now));
    }

    fn read_members(&mut self, late: bool, now: Instant, out: &mut Vec<Command>) {
        let registered = self.registration.version();
        let after = self.roster().confirmed();
        let entering = !self.join.complete && registered > Some(after);
        let unconfirmed = self.topology.is_head() && self.log.version() > after;
        let wanted = entering || unconfirmed || late || self.stale.members;
        if wanted && self.calls.may_call(Purpose::ReadMembers, now) {
            let wait = Duration::ZERO;
            let call = Call::Members { after, wait };
            out.push(self.calls.open_call(Purpose::ReadMembers, call, now));
        }
    }

    /// Removes a process that has been dead for the expiry time from the roster.
    /// This does not affect any lease that it holds.
    fn expire(&mut self, now: Instant, out: &mut Vec<Command>) {
        if !self.calls.may_call(Purpose::Expire, now) {
            return;
        }
        let data_centre = &self.registration.record().data_centre;
        let ours = |record: &Record| record.data_centre == *data_centre;
        let expired = self.liveness.expired(self.journal.roster(), ours, now);
        let Some(row) = expired.first() else { return };
        let call = Call::Expire {
            process: row.record.process.clone(),
            version: row.version,
        };
        out.push(self.calls.open_call(Purpose::Expire, call, now));
    }
}
