//! The state machine of one process for one lease.

use std::sync::Arc;
use std::time::Duration;

use cactusnotch_base::clock::Instant;
use cactusnotch_base::name::Process;
use cactusnotch_base::number::{Fence, Sequence};
use cactusnotch_objects::object::{Condition, Version};
use rand::Rng;

use crate::attempt::Attempts;
use crate::call::{Answer, Call, Found, Ticket};
use crate::guard::Guard;
use crate::options::Options;
use crate::record::Record;

/// The lease's object as last observed, and when it was first observed in that
/// state.
#[derive(Debug)]
struct Seen {
    found: Option<Found>,
    since: Instant,
    /// The longest lease that a holder may still consider valid.
    ttl: Duration,
}

/// The right of this process.
#[derive(Debug)]
struct Held {
    fence: Fence,
    deadline: Instant,
    renew_at: Instant,
    usage: Arc<()>,
}

/// A call that has not been answered.
#[derive(Debug)]
struct Pending {
    ticket: Ticket,
    written: Option<Record>,
}

/// The state machine of one process for one lease.
///
/// [`Lease::poll`] returns at most one call at a time, whose answer must be
/// passed to [`Lease::answer`]. [`Lease::check`] returns the right to act.
#[derive(Debug)]
pub struct Lease {
    options: Options,
    holder: Process,
    session: u64,
    wanted: bool,
    fence_floor: Fence,
    seen: Option<Seen>,
    held: Option<Held>,
    attempts: Attempts,
    pending: Option<Pending>,
    unconfirmed: bool,
    failures: u32,
    next_call: Option<Instant>,
    tickets: u64,
}

impl Lease {
    /// Creates the state of `holder`, which does not acquire the lease yet.
    /// `rng` draws the number that distinguishes this incarnation from earlier
    /// ones.
    pub fn new<R: Rng>(options: Options, holder: Process, rng: &mut R) -> Self {
        Self {
            options,
            holder,
            session: rng.random(),
            wanted: false,
            fence_floor: Fence(0),
            seen: None,
            held: None,
            attempts: Attempts::default(),
            pending: None,
            unconfirmed: false,
            failures: 0,
            next_call: None,
            tickets: 0,
        }
    }

    /// Starts to acquire the lease.
    pub const fn acquire(&mut self) {
        self.wanted = true;
    }

    /// Releases the lease. No further guard is given, and others may take over
    /// once the guards given before have been dropped or have expired.
    pub const fn release(&mut self) {
        self.wanted = false;
    }

    /// Raises the fencing number that the next change of holder must exceed,
    /// after an endpoint has refused a smaller one (the lease's object was
    /// deleted).
    pub fn raise_fence(&mut self, fence: Fence) {
        self.fence_floor = self.fence_floor.max(fence);
    }

    /// Returns the right to act, unless it is not held or has expired at `now`.
    #[must_use]
    pub fn check(&self, now: Instant) -> Option<Guard> {
        let held = self.held.as_ref()?;
        let valid = self.wanted && now < held.deadline;
        valid.then(|| Guard::new(held.fence, held.deadline, &held.usage))
    }

    /// Returns the record last observed in the platform.
    #[must_use]
    pub fn seen(&self) -> Option<&Record> {
        let found = self.seen.as_ref()?.found.as_ref()?;
        Some(&found.record)
    }

    /// Returns the call to make at `now`, if there is one.
    ///
    /// The answer, or [`Answer::Unanswered`] after the call's timeout, must be
    /// passed to [`Lease::answer`] before another call is returned.
    pub fn poll(&mut self, now: Instant) -> Option<(Ticket, Call)> {
        let early = self.next_call.is_some_and(|at| now < at);
        if self.pending.is_some() || early {
            return None;
        }
        let call = self.decide(now)?;
        self.tickets += 1;
        let ticket = Ticket(self.tickets);
        let written = match &call {
            Call::Get => None,
            Call::Put { record, .. } => Some(record.clone()),
        };
        self.pending = Some(Pending { ticket, written });
        Some((ticket, call))
    }

    /// Handles the answer to a call. An answer to a call that was already
    /// answered is ignored.
    pub fn answer<R: Rng>(&mut self, ticket: Ticket, answer: Answer, now: Instant, rng: &mut R) {
        let Some(pending) = self.pending.take_if(|pending| pending.ticket == ticket) else {
            return;
        };
        match answer {
            Answer::Read(found) | Answer::Conflict(found) => {
                self.observe(found, now);
                self.succeeded(now);
            }
            Answer::Written(version) => {
                let found = pending.written.map(|record| Found { version, record });
                self.observe(found, now);
                self.succeeded(now);
            }
            Answer::Refused => self.failed(now, rng),
            Answer::Unanswered => {
                self.unconfirmed = true;
                self.failed(now, rng);
            }
        }
    }

    /// Handles the object as received by a watch or in an answer.
    ///
    /// The time for which a version has been unchanged is measured from its
    /// first observation, on the clock of this process.
    pub fn observe(&mut self, found: Option<Found>, now: Instant) {
        let known = self.seen.as_ref().map(|seen| version(seen.found.as_ref()));
        let new = version(found.as_ref());
        let stale = new.is_some() && known.flatten() > new;
        if stale || known == Some(new) {
            return;
        }
        let record = found.as_ref().map(|found| &found.record);
        self.fence_floor = record.map_or(self.fence_floor, |record| {
            self.fence_floor.max(record.fence)
        });
        self.held = record.and_then(|record| self.right_of(record, now));
        let before = self.seen.as_ref().map_or(self.options.ttl, |seen| seen.ttl);
        let ttl = record.map_or(before, Record::ttl);
        self.seen = Some(Seen {
            found,
            since: now,
            ttl,
        });
    }

    /// Returns the right that `record` gives this process. It is dated from
    /// before the write was sent.
    fn right_of(&mut self, record: &Record, now: Instant) -> Option<Held> {
        if record.session != self.session || record.released {
            return None;
        }
        let sent = self.attempts.sent(record.attempt)?;
        let deadline = sent + self.options.ttl;
        let usage = match self.held.take() {
            Some(held) if held.fence == record.fence => held.usage,
            _ => Arc::new(()),
        };
        (now < deadline).then_some(Held {
            fence: record.fence,
            deadline,
            renew_at: sent + self.options.renew,
            usage,
        })
    }

    fn decide(&mut self, now: Instant) -> Option<Call> {
        if !self.wanted && self.seen.is_none() {
            return None;
        }
        if self.unconfirmed || self.seen.is_none() {
            return Some(Call::Get);
        }
        if self.wanted {
            self.acquire_or_renew(now)
        } else {
            self.write_release(now)
        }
    }

    fn acquire_or_renew(&mut self, now: Instant) -> Option<Call> {
        let live = self.held.as_ref().filter(|held| now < held.deadline);
        if let Some(held) = live {
            let due = now >= held.renew_at;
            let fence = held.fence;
            return due.then(|| self.write(fence, false, now));
        }
        self.held = None;
        if self.is_free(now) {
            return Some(self.write(self.fence_floor.next(), false, now));
        }
        Some(Call::Get)
    }

    /// Returns whether no other process can hold the lease at `now`.
    fn is_free(&self, now: Instant) -> bool {
        let Some(seen) = &self.seen else { return false };
        let released = seen
            .found
            .as_ref()
            .is_some_and(|found| found.record.released || found.record.session == self.session);
        released || now >= self.free_at(seen)
    }

    /// Returns when the observed holder's lease has expired on every clock. An
    /// absent object may have just been deleted while a process held the lease,
    /// and requires the same wait.
    fn free_at(&self, seen: &Seen) -> Instant {
        seen.since + self.options.takeover(seen.ttl)
    }

    fn write_release(&mut self, now: Instant) -> Option<Call> {
        if let Some(held) = &self.held {
            let used = Arc::strong_count(&held.usage) > 1;
            if used && now < held.deadline {
                return None;
            }
        }
        let record = self.seen()?;
        if record.session != self.session || record.released {
            return None;
        }
        let fence = record.fence;
        // The write may take effect at any time from now on.
        self.held = None;
        Some(self.write(fence, true, now))
    }

    fn write(&mut self, fence: Fence, released: bool, now: Instant) -> Call {
        let attempt: Sequence = self.attempts.open(now);
        let found = self.seen.as_ref().and_then(|seen| seen.found.as_ref());
        let condition = version(found).map_or(Condition::Absent, Condition::Version);
        let ttl_ms = u64::try_from(self.options.ttl.as_millis()).unwrap_or(u64::MAX);
        let record = Record {
            holder: self.holder.clone(),
            session: self.session,
            attempt,
            fence,
            ttl_ms,
            released,
        };
        Call::Put { record, condition }
    }

    fn succeeded(&mut self, now: Instant) {
        self.unconfirmed = false;
        self.failures = 0;
        let waiting = self.wanted && self.held.is_none() && !self.is_free(now);
        let free_at = self.seen.as_ref().map(|seen| self.free_at(seen));
        let next_poll = now + self.options.poll;
        self.next_call = waiting.then(|| free_at.map_or(next_poll, |at| at.min(next_poll)));
    }

    fn failed<R: Rng>(&mut self, now: Instant, rng: &mut R) {
        let ceiling = self
            .options
            .retry_min
            .saturating_mul(1 << self.failures.min(16))
            .min(self.options.retry_max);
        self.failures += 1;
        let pause = ceiling.mul_f64(rng.random_range(0.5..1.0));
        self.next_call = Some(now + pause);
    }
}

fn version(found: Option<&Found>) -> Option<Version> {
    found.map(|found| found.version)
}
