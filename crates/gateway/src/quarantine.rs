//! Quarantines requests that crash the endpoints that run them.
//!
//! The limit on endpoints per attempt doesn't cover a caller's next attempt, and the retry
//! budget over all requests is never exhausted by a single one. The crashes of a request are
//! therefore recorded by its [`Fingerprint`], over all attempts and all entries.

use std::time::Duration;

use cactusnotch_base::Table;
use cactusnotch_base::clock::Instant;
use cactusnotch_derive::record;

use crate::content::Fingerprint;

/// The number of crashes after which a request is quarantined. One crash may have any cause,
/// and in an observed hour one to three unrelated requests were running on a server when it
/// crashed. A second run that began after the first crash and crashes its endpoint as well
/// distinguishes the cause. A third would cost another group of ranks for some five seconds.
pub const CRASH_THRESHOLD: usize = 2;
/// How long a request is quarantined: long enough to outlast retries, and limited because the
/// next version of a model may have fixed the fault.
pub const QUARANTINE_TIME: Duration = Duration::from_hours(1);
/// How long a crash is remembered for a request that is not quarantined. Callers retry within
/// seconds, and their users within minutes.
const SUSPECT_TIME: Duration = Duration::from_mins(10);
/// How long it is remembered that a quarantine was lifted. Restored copies of the store and
/// stale listings may be some seconds old.
const CLEARED_TIME: Duration = Duration::from_mins(2);
/// The most requests that are remembered. The loss of all of 1,300 servers affects some 2,500
/// requests that had just begun.
const ROWS_MAX: usize = 4_096;

/// A crash of an endpoint while it ran a request for which it had sent nothing or had only
/// begun to send.
#[record]
pub struct Crash {
    /// The incarnation of the endpoint.
    pub endpoint: String,
    /// When the request was sent to the endpoint.
    pub sent: Instant,
    /// When the crash was detected.
    pub at: Instant,
}

/// The consequence of a crash for its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The crash was already recorded.
    Known,
    /// The request may have caused the crash or may only have been running at the time.
    Suspected,
    /// The request is quarantined from now on.
    Held,
    /// The request was already quarantined.
    HeldBefore,
}

#[derive(Debug)]
struct Row {
    crashes: Vec<Crash>,
    quarantined_until: Option<Instant>,
    /// Whether the store is known to hold a record of the quarantine.
    recorded: bool,
    /// When the row expires.
    until: Instant,
}

impl Row {
    const fn new(until: Instant) -> Self {
        Self {
            crashes: Vec::new(),
            quarantined_until: None,
            recorded: false,
            until,
        }
    }

    /// Returns the number of crashes that can't have one common cause: only runs that began
    /// after the previous counted crash. The loss of a rack, for example, terminates several
    /// endpoints at which callers wait for the same request.
    fn independent_crashes(&mut self) -> usize {
        self.crashes.sort_by_key(|crash| crash.at);
        let mut last: Option<Instant> = None;
        let independent = |crash: &&Crash| {
            let counts = last.is_none_or(|last| crash.sent >= last);
            if counts {
                last = Some(crash.at);
            }
            counts
        };
        self.crashes.iter().filter(independent).count()
    }

    fn quarantine(&mut self, until: Instant) {
        self.quarantined_until = Some(until);
        self.until = until;
    }
}

/// The requests during which endpoints have crashed.
#[derive(Debug, Default)]
pub struct Quarantine {
    rows: Table<Fingerprint, Row>,
    /// Requests whose quarantine was lifted because they were served, with the time at which
    /// this is forgotten. The store may still list their records.
    cleared: Table<Fingerprint, Instant>,
}

impl Quarantine {
    /// Returns whether no request is remembered, in which case no fingerprint is needed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Returns the number of remembered requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns the number of quarantined requests.
    #[must_use]
    pub fn quarantined_len(&self) -> usize {
        let quarantined = |row: &&Row| row.quarantined_until.is_some();
        self.rows.values().filter(quarantined).count()
    }

    /// Records the crash of an endpoint during the request with this fingerprint.
    pub fn record_crash(
        &mut self,
        fingerprint: Fingerprint,
        crash: &Crash,
        now: Instant,
    ) -> Verdict {
        self.make_room(fingerprint);
        let until = now + SUSPECT_TIME;
        let row = self
            .rows
            .get_or_insert_with(fingerprint, || Row::new(until));
        let known = |known: &Crash| known.endpoint == crash.endpoint;
        if row.crashes.iter().any(known) {
            return Verdict::Known;
        }
        if row.quarantined_until.is_some() {
            return Verdict::HeldBefore;
        }
        row.crashes.push(crash.clone());
        row.until = until;
        if row.independent_crashes() < CRASH_THRESHOLD {
            return Verdict::Suspected;
        }
        row.quarantine(now + QUARANTINE_TIME);
        self.cleared.remove(&fingerprint);
        Verdict::Held
    }

    /// Quarantines a request for `left`, at most [`QUARANTINE_TIME`], as reported by another
    /// entry or the store; returns whether it was not quarantined before.
    pub fn add(&mut self, fingerprint: Fingerprint, left: Duration, now: Instant) -> bool {
        self.make_room(fingerprint);
        let until = now + left.min(QUARANTINE_TIME);
        let row = self
            .rows
            .get_or_insert_with(fingerprint, || Row::new(until));
        if row.quarantined_until.is_some() {
            return false;
        }
        row.quarantine(until);
        true
    }

    /// Returns the time left of a request's quarantine, if it is quarantined.
    #[must_use]
    pub fn time_left(&self, fingerprint: Fingerprint, now: Instant) -> Option<Duration> {
        let until = self.rows.get(&fingerprint)?.quarantined_until?;
        until.checked_duration_since(now)
    }

    /// Clears a request that was served completely and thus is not the cause of the crashes.
    /// Returns whether it was quarantined, or `None` if it was not remembered.
    pub fn clear(&mut self, fingerprint: Fingerprint, now: Instant) -> Option<bool> {
        let row = self.rows.remove(&fingerprint)?;
        let was_quarantined = row.quarantined_until.is_some();
        if was_quarantined {
            self.cleared.insert(fingerprint, now + CLEARED_TIME);
        }
        Some(was_quarantined)
    }

    /// Returns whether the request's quarantine was recently lifted because it was served.
    #[must_use]
    pub fn is_cleared(&self, fingerprint: Fingerprint, now: Instant) -> bool {
        self.cleared
            .get(&fingerprint)
            .is_some_and(|until| *until > now)
    }

    /// Marks all records as missing after the store was restored from an older copy, which may
    /// lack all of them.
    pub fn forget_records(&mut self) {
        for (_, row) in self.rows.iter_mut() {
            row.recorded = false;
        }
    }

    /// Updates whether the store has a record of the request's quarantine; returns whether
    /// the record has to be written.
    pub fn note_record(&mut self, fingerprint: Fingerprint, recorded: bool) -> bool {
        let Some(row) = self.rows.get_mut(&fingerprint) else {
            return false;
        };
        let missing = row.quarantined_until.is_some() && !row.recorded && !recorded;
        row.recorded |= recorded;
        missing
    }

    /// Returns the quarantined requests, each with the time left.
    pub fn all(&self, now: Instant) -> impl Iterator<Item = (Fingerprint, Duration)> {
        let left = move |row: &Row| row.quarantined_until?.checked_duration_since(now);
        let rows = self.rows.iter();
        rows.filter_map(move |(fingerprint, row)| Some((*fingerprint, left(row)?)))
    }

    /// Drops expired rows.
    pub fn expire(&mut self, now: Instant) {
        self.rows.retain(|_, row| row.until > now);
        self.cleared.retain(|_, until| *until > now);
    }

    /// Makes room for a request by dropping the row that expires first.
    fn make_room(&mut self, fingerprint: Fingerprint) {
        if self.rows.len() < ROWS_MAX || self.rows.contains(&fingerprint) {
            return;
        }
        let first = self.rows.iter().min_by_key(|(_, row)| row.until);
        if let Some(first) = first.map(|(fingerprint, _)| *fingerprint) {
            self.rows.remove(&first);
        }
    }
}
