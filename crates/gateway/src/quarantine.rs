//! Quarantines requests that crash the endpoints that run them.
//!
//! The limit on endpoints per attempt doesn't cover a caller's next attempt, and the retry
//! budget over all requests is never exhausted by a single one. What crashed requests have in
//! common is therefore recorded by [`Fingerprint`], over all attempts and all entries: the
//! content of a request that comes again, and the parts of prompts that different requests
//! share.
//!
//! A crash accuses each request that had just begun at its endpoint, with all shared parts of its
//! prompt. A content or part under which a request was answered is cleared. A content is
//! quarantined after few crashes. A part is quarantined if it is in an accused request of each of
//! several crashes and no other part explains them as well, save those that were answered lately.
//! Parts that have only occurred together are quarantined together, and bar requests that have
//! all of them, until a crash shows that fewer are enough. If a later report shows that another
//! part explains the crashes better, the quarantine ends.

mod accused;
mod crash;
mod judgement;
mod suspect;

use std::time::Duration;

use cactusnotch_base::Table;
use cactusnotch_base::clock::Instant;

pub use self::accused::Accused;
pub use self::crash::Crash;
use self::judgement::Judgement;
use self::suspect::Suspect;
pub use self::suspect::{CRASH_THRESHOLD, PART_CRASH_THRESHOLD};
use crate::content::Fingerprint;

/// How long a request is quarantined: long enough to outlast retries, and limited because the
/// next version of a model may have fixed the fault.
pub const QUARANTINE_TIME: Duration = Duration::from_hours(1);
/// How long a crash is remembered for a request that is not quarantined. Callers retry within
/// seconds, and their users within minutes.
const SUSPECT_TIME: Duration = Duration::from_mins(10);
/// How long it is remembered that a quarantine was lifted. Restored copies of the store and
/// stale listings may be some seconds old.
const CLEARED_TIME: Duration = Duration::from_mins(2);
/// How long after a crash all reports of it have usually arrived. Requests that ran on the
/// endpoint are reported by several entries, and the cause may be reported last.
const REPORT_TIME: Duration = Duration::from_millis(300);
/// How long it is remembered that a part of prompts was answered: longer than most faults last in
/// which nothing is answered, and limited because a new version of a model may crash under it.
pub const ANSWERED_TIME: Duration = Duration::from_mins(1);
/// The most answered parts that are remembered.
const ANSWERED_MAX: usize = 4_096;
/// The most suspects that are remembered. The loss of all of 1,300 servers affects some 2,500
/// requests that had just begun.
const SUSPECTS_MAX: usize = 4_096;

/// The consequence of a crash for a request that it accuses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The crash was already recorded.
    Known,
    /// The request may have caused the crash or may only have been running at the time.
    Suspected,
    /// The content of the request is quarantined from now on.
    Held,
    /// The content or a part of the request was already quarantined.
    HeldBefore,
}

/// The changes of quarantines that follow from a judgement of parts.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// The parts that are quarantined from now on, which later reports may revoke.
    pub held: Vec<Fingerprint>,
    /// The parts whose quarantine has been confirmed.
    pub confirmed: Vec<Fingerprint>,
    /// The parts whose quarantine has been confirmed or reported, and that bar more requests than
    /// before, since a crashed request had fewer of their companions.
    pub narrowed: Vec<Fingerprint>,
    /// The parts whose quarantine ends since another part may have caused the crashes.
    pub released: Vec<Fingerprint>,
}

/// The suspects of crashes of endpoints.
#[derive(Debug, Default)]
pub struct Quarantine {
    rows: Table<Fingerprint, Suspect>,
    /// Suspects whose quarantine was lifted, with the time at which this is forgotten. The
    /// store may still list their records.
    cleared: Table<Fingerprint, Instant>,
    /// Parts of prompts that were answered lately, with the time of the last answer. They are
    /// known before the first crash, and in a fault in which nothing is answered.
    answered: Table<Fingerprint, Instant>,
}

impl Quarantine {
    /// Returns whether there is no suspect, in which case no fingerprint is needed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Returns the number of suspects.
    #[must_use]
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns the number of suspects that are quarantined.
    #[must_use]
    pub fn quarantined_len(&self) -> usize {
        self.rows.values().filter(|row| row.is_held()).count()
    }

    /// Returns the number of crashes that are remembered for a suspect.
    #[must_use]
    pub fn crashes(&self, fingerprint: Fingerprint) -> usize {
        let row = self.rows.get(&fingerprint);
        row.map_or(0, |row| row.crashes().len())
    }

    /// Records the crash of an endpoint during the accused request. Its parts are judged by
    /// [`Quarantine::judge_parts`].
    pub fn record_crash(&mut self, accused: &Accused, crash: &Crash, now: Instant) -> Verdict {
        let content = self.rows.get(&accused.content);
        if content.is_some_and(|row| row.has_crash(&crash.endpoint)) {
            return Verdict::Known;
        }
        let was_held = accused.all().any(|own| self.is_held(own));
        for fingerprint in accused.all() {
            self.make_room(fingerprint);
            let until = now + SUSPECT_TIME;
            let row = self
                .rows
                .get_or_insert_with(fingerprint, || Suspect::new(until));
            row.record(accused, crash, fingerprint != accused.content);
            row.until = row.until.max(until);
        }
        if was_held {
            return Verdict::HeldBefore;
        }
        let content = self.rows.get_mut(&accused.content);
        let Some(row) = content.filter(|row| row.is_guilty_content()) else {
            return Verdict::Suspected;
        };
        row.quarantine(now + QUARANTINE_TIME);
        self.cleared.remove(&accused.content);
        Verdict::Held
    }

    /// Records that a request with a part was answered for so long that the part is not the cause
    /// of crashes.
    pub fn record_answered(&mut self, part: Fingerprint, now: Instant) {
        if self.answered.len() >= ANSWERED_MAX && !self.answered.contains(&part) {
            self.answered
                .retain(|_, at| now.saturating_duration_since(*at) < ANSWERED_TIME / 2);
        }
        if self.answered.len() < ANSWERED_MAX || self.answered.contains(&part) {
            self.answered.insert(part, now);
        }
    }

    /// Returns the number of answered parts that are remembered.
    #[must_use]
    pub fn answered_len(&self) -> usize {
        self.answered.len()
    }

    /// Decides which parts of prompts have caused the crashes that are known by now.
    pub fn judge_parts(&mut self, now: Instant) -> Changes {
        let judgement = Judgement::new(&self.rows, &self.answered, now);
        let mut released = judgement.outdone();
        let guilty = judgement.guilty();
        let mut changes = Changes::default();
        for (fingerprint, row) in self.rows.iter_mut() {
            if row.provisional_since.is_none() && std::mem::take(&mut row.has_narrowed) {
                changes.narrowed.push(*fingerprint);
            }
            match (row.provisional_since, guilty.contains(fingerprint)) {
                (None, true) if !row.is_held() => {
                    row.quarantine(now + QUARANTINE_TIME);
                    row.provisional_since = Some(now);
                    changes.held.push(*fingerprint);
                }
                (Some(since), true) if now.saturating_duration_since(since) >= REPORT_TIME => {
                    row.provisional_since = None;
                    changes.confirmed.push(*fingerprint);
                }
                (Some(_), false) => released.push(*fingerprint),
                (None | Some(_), _) => {}
            }
        }
        for fingerprint in &released {
            if let Some(row) = self.rows.get_mut(fingerprint) {
                row.release(now + SUSPECT_TIME);
            }
            self.cleared.insert(*fingerprint, now + CLEARED_TIME);
        }
        for fingerprint in &changes.held {
            self.cleared.remove(fingerprint);
        }
        released.sort_unstable();
        released.dedup();
        Changes {
            released,
            ..changes
        }
    }

    /// Quarantines a suspect for `left`, at most [`QUARANTINE_TIME`], as reported by another
    /// entry or the store; returns whether it was not quarantined before. Only requests that
    /// have all its `companions` as well are barred.
    pub fn add(
        &mut self,
        fingerprint: Fingerprint,
        companions: &[Fingerprint],
        left: Duration,
        now: Instant,
    ) -> bool {
        self.make_room(fingerprint);
        let until = now + left.min(QUARANTINE_TIME);
        let row = self
            .rows
            .get_or_insert_with(fingerprint, || Suspect::new(until));
        row.record_companions(companions);
        if row.is_held() {
            return false;
        }
        row.quarantine(until);
        true
    }

    /// Returns the time left of a suspect's quarantine, if it is quarantined.
    #[must_use]
    pub fn time_left(&self, fingerprint: Fingerprint, now: Instant) -> Option<Duration> {
        let until = self.rows.get(&fingerprint)?.quarantined_until?;
        until.checked_duration_since(now)
    }

    /// Returns the parts that a request must have as well to be barred by a suspect.
    #[must_use]
    pub fn companions(&self, fingerprint: Fingerprint) -> Vec<Fingerprint> {
        let row = self.rows.get(&fingerprint);
        let parts = row.map(Suspect::companions).unwrap_or_default();
        let others = parts.iter().filter(|&&part| part != fingerprint);
        others.copied().collect()
    }

    /// Returns the quarantined parts that have this one as a companion.
    #[must_use]
    pub fn held_with(&self, part: Fingerprint) -> Vec<Fingerprint> {
        let rows = self.rows.iter().filter(|(own, row)| {
            **own != part && row.is_held() && row.companions().contains(&part)
        });
        rows.map(|(own, _)| *own).collect()
    }

    /// Returns what bars a request, and for how much longer.
    #[must_use]
    pub fn bar(&self, request: &Accused, now: Instant) -> Option<(Fingerprint, Duration)> {
        request.all().find_map(|own| {
            let left = self.time_left(own, now)?;
            let row = self.rows.get(&own)?;
            row.matches(request).then_some((own, left))
        })
    }

    /// Clears a suspect: a request with it was answered, so it is not the cause of crashes.
    /// Returns whether it was quarantined, or `None` if it was none.
    pub fn clear(&mut self, fingerprint: Fingerprint, now: Instant) -> Option<bool> {
        let row = self.rows.remove(&fingerprint)?;
        for (_, other) in self.rows.iter_mut() {
            other.exclude(fingerprint);
        }
        if row.is_judged_part() {
            self.record_answered(fingerprint, now);
        }
        if row.is_held() {
            self.cleared.insert(fingerprint, now + CLEARED_TIME);
        }
        Some(row.is_held())
    }

    /// Returns whether the suspect's quarantine was recently lifted.
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

    /// Updates whether the store has a record of the suspect's quarantine; returns whether
    /// the record has to be written.
    pub fn note_record(&mut self, fingerprint: Fingerprint, recorded: bool) -> bool {
        let Some(row) = self.rows.get_mut(&fingerprint) else {
            return false;
        };
        let missing = row.is_held() && !row.recorded && !recorded;
        row.recorded |= recorded;
        missing
    }

    /// Returns the quarantined suspects, each with the time left.
    pub fn all(&self, now: Instant) -> impl Iterator<Item = (Fingerprint, Duration)> {
        let left = move |row: &Suspect| row.quarantined_until?.checked_duration_since(now);
        let rows = self.rows.iter();
        rows.filter_map(move |(fingerprint, row)| Some((*fingerprint, left(row)?)))
    }

    /// Drops expired rows. The crashes of a part whose quarantine has ended are kept for a while,
    /// so that the next one quarantines it again.
    pub fn expire(&mut self, now: Instant) {
        for (_, row) in self.rows.iter_mut() {
            if row.until <= now && row.is_held() && row.is_judged_part() {
                row.release(now + SUSPECT_TIME);
            }
        }
        self.rows.retain(|_, row| row.until > now);
        self.cleared.retain(|_, until| *until > now);
        self.answered
            .retain(|_, at| now.saturating_duration_since(*at) < ANSWERED_TIME);
    }

    fn is_held(&self, fingerprint: Fingerprint) -> bool {
        self.rows.get(&fingerprint).is_some_and(Suspect::is_held)
    }

    /// Makes room for a suspect by dropping the row that expires first.
    fn make_room(&mut self, fingerprint: Fingerprint) {
        if self.rows.len() < SUSPECTS_MAX || self.rows.contains(&fingerprint) {
            return;
        }
        let first = self.rows.iter().min_by_key(|(_, row)| row.until);
        if let Some(first) = first.map(|(fingerprint, _)| *fingerprint) {
            self.rows.remove(&first);
        }
    }
}
