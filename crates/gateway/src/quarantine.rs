//! Which requests are kept from endpoints, since they end those that run them.
//!
//! An attempt's bound on endpoints says nothing of the next attempt, and a bound on repeats
//! over all requests never binds for a single one. What a request has done is remembered by
//! its [`Content`] instead, over all attempts and all entries.

use std::time::Duration;

use cactusnotch_base::Table;
use cactusnotch_base::clock::Instant;
use cactusnotch_derive::record;

use crate::content::Fingerprint;

/// The ends of endpoints from which on a request is held. One may have any cause, and one to
/// three requests that are innocent stood where a server ended in a recorded hour; a second
/// run that began after the first had ended and ends the same way tells them apart. A third
/// would cost a further group of ranks for some five seconds.
pub const CRASH_THRESHOLD: usize = 2;
/// How long a request is held: long enough that callers who come again don't get through,
/// and an end to what the next version of a model may have mended.
pub const QUARANTINE_TIME: Duration = Duration::from_hours(1);
/// How long an end is remembered of a request that is not held. Callers come again within
/// seconds; their users, within minutes.
const SUSPECT_TIME: Duration = Duration::from_mins(10);
/// How long it is remembered that a request is no longer held: copies that a store comes back
/// from, and listings that may be old, are some seconds old.
const CLEARED_TIME: Duration = Duration::from_mins(2);
/// The most requests that are remembered: the loss of all of 1,300 servers leaves some 2,500
/// that had just begun.
const ROWS_MAX: usize = 4_096;

/// An endpoint that ended while it ran a request which had given nothing yet.
#[record]
pub struct Crash {
    /// The life of the endpoint.
    pub endpoint: String,
    /// When the request was sent there.
    pub sent: Instant,
    /// When the endpoint was seen to have ended.
    pub at: Instant,
}

/// What a crash says of its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The crash was known.
    Known,
    /// The request may have caused it, or may have stood beside what did.
    Suspected,
    /// The request is held from now on.
    Held,
    /// The request was held already.
    HeldBefore,
}

#[derive(Debug)]
struct Row {
    crashes: Vec<Crash>,
    held_until: Option<Instant>,
    /// Whether the store is known to have a record that it is held.
    recorded: bool,
    /// When it is forgotten.
    until: Instant,
}

impl Row {
    const fn new(until: Instant) -> Self {
        Self {
            crashes: Vec::new(),
            held_until: None,
            recorded: false,
            until,
        }
    }

    /// Returns the crashes that can't have one common cause, as the loss of a rack has that
    /// ends several endpoints at which callers wait for the same: those of runs of which
    /// each began after the one before had ended.
    fn separate(&mut self) -> usize {
        self.crashes.sort_by_key(|crash| crash.at);
        let mut last: Option<Instant> = None;
        let separate = |crash: &&Crash| {
            let counts = last.is_none_or(|last| crash.sent >= last);
            if counts {
                last = Some(crash.at);
            }
            counts
        };
        self.crashes.iter().filter(separate).count()
    }

    fn hold(&mut self, until: Instant) {
        self.held_until = Some(until);
        self.until = until;
    }
}

/// The requests under which endpoints have ended.
#[derive(Debug, Default)]
pub struct Quarantine {
    rows: Table<Fingerprint, Row>,
    /// Requests that were held and served since, with when that is forgotten: the store may
    /// show their records once more.
    cleared: Table<Fingerprint, Instant>,
}

impl Quarantine {
    /// Tells whether no request is remembered, so that none has to be looked up.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Returns how many requests are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns how many requests are held.
    #[must_use]
    pub fn quarantined_len(&self) -> usize {
        let held = |row: &&Row| row.held_until.is_some();
        self.rows.values().filter(held).count()
    }

    /// Takes that an endpoint ended under the request `content`.
    pub fn record_crash(&mut self, content: Fingerprint, crash: &Crash, now: Instant) -> Verdict {
        self.make_room(content);
        let until = now + SUSPECT_TIME;
        let row = self.rows.get_or_insert_with(content, || Row::new(until));
        let known = |known: &Crash| known.endpoint == crash.endpoint;
        if row.crashes.iter().any(known) {
            return Verdict::Known;
        }
        if row.held_until.is_some() {
            return Verdict::HeldBefore;
        }
        row.crashes.push(crash.clone());
        row.until = until;
        if row.separate() < CRASH_THRESHOLD {
            return Verdict::Suspected;
        }
        row.hold(now + QUARANTINE_TIME);
        self.cleared.remove(&content);
        Verdict::Held
    }

    /// Takes from elsewhere that the request is held for `left`, at most [`HOLD_TIME`];
    /// returns whether that is new.
    pub fn add(&mut self, content: Fingerprint, left: Duration, now: Instant) -> bool {
        self.make_room(content);
        let until = now + left.min(QUARANTINE_TIME);
        let row = self.rows.get_or_insert_with(content, || Row::new(until));
        if row.held_until.is_some() {
            return false;
        }
        row.hold(until);
        true
    }

    /// Returns how long the request is held still, if it is.
    #[must_use]
    pub fn time_left(&self, content: Fingerprint, now: Instant) -> Option<Duration> {
        let until = self.rows.get(&content)?.held_until?;
        until.checked_duration_since(now)
    }

    /// Takes that the request was served whole, so that it was not what ended endpoints;
    /// returns whether it was held, or `None` if nothing was remembered of it.
    pub fn clear(&mut self, content: Fingerprint, now: Instant) -> Option<bool> {
        let row = self.rows.remove(&content)?;
        let was_held = row.held_until.is_some();
        if was_held {
            self.cleared.insert(content, now + CLEARED_TIME);
        }
        Some(was_held)
    }

    /// Tells whether the request was held and has been served since, not long ago.
    #[must_use]
    pub fn is_cleared(&self, content: Fingerprint, now: Instant) -> bool {
        self.cleared.get(&content).is_some_and(|until| *until > now)
    }

    /// Takes that the store came back from an older copy, which may lack all records.
    pub fn forget_records(&mut self) {
        for (_, row) in self.rows.iter_mut() {
            row.recorded = false;
        }
    }

    /// Takes that the store's record names the request or not; returns whether it is to be
    /// written there.
    pub fn note_record(&mut self, content: Fingerprint, recorded: bool) -> bool {
        let Some(row) = self.rows.get_mut(&content) else {
            return false;
        };
        let missing = row.held_until.is_some() && !row.recorded && !recorded;
        row.recorded |= recorded;
        missing
    }

    /// Returns the requests that are held, each with how long it is so.
    pub fn quarantined(&self, now: Instant) -> impl Iterator<Item = (Fingerprint, Duration)> {
        let left = move |row: &Row| row.held_until?.checked_duration_since(now);
        let rows = self.rows.iter();
        rows.filter_map(move |(content, row)| Some((*content, left(row)?)))
    }

    /// Forgets what is past its time.
    pub fn expire(&mut self, now: Instant) {
        self.rows.retain(|_, row| row.until > now);
        self.cleared.retain(|_, until| *until > now);
    }

    /// Makes room for a request, by the one that would be forgotten first.
    fn make_room(&mut self, content: Fingerprint) {
        if self.rows.len() < ROWS_MAX || self.rows.contains(&content) {
            return;
        }
        let first = self.rows.iter().min_by_key(|(_, row)| row.until);
        if let Some(first) = first.map(|(content, _)| *content) {
            self.rows.remove(&first);
        }
    }
}
