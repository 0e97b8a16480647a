//! The data centres that operators have evacuated, as cached by an entry.

use std::time::Duration;

use cactusnotch_base::Table;
use cactusnotch_base::clock::Instant;
use cactusnotch_position::Position;

/// The data centres whose endpoints must get no more requests.
///
/// Updated by the store's answers and by reports of other entries. Of two states that were
/// read in the same era of the store, the later one counts. Evacuations that an older copy of
/// the store lacks are kept for some time, in which operators can write them again.
#[derive(Debug, Default)]
pub struct Evacuations {
    /// Each with its expiry time, if the store may have lost it.
    rows: Table<String, Option<Instant>>,
    /// The position at which they were last read, `None` before the first read.
    position: Option<Position>,
    /// Send time of the latest call whose answer confirmed this state.
    confirmed: Option<Instant>,
}

/// The state that one entry reports to others.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// The position at which the state was read.
    pub position: Position,
    /// The evacuated data centres.
    pub data_centres: Vec<String>,
}

impl Evacuations {
    /// Returns whether the evacuations have been read.
    #[must_use]
    pub const fn are_known(&self) -> bool {
        self.position.is_some()
    }

    /// Returns the position up to which they were read.
    #[must_use]
    pub fn position(&self) -> Position {
        self.position.unwrap_or_default()
    }

    /// Returns the evacuated data centres, sorted by name.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.rows.keys().map(String::as_str)
    }

    /// Returns the time since the last confirmation, `None` without one.
    #[must_use]
    pub fn age(&self, now: Instant) -> Option<Duration> {
        Some(now.saturating_duration_since(self.confirmed?))
    }

    /// Applies a listing. Evacuations missing from it have ended. If the listing is of another
    /// era, operators may still write the missing ones again, so they are kept until
    /// `rewritten`.
    pub fn replace(&mut self, names: &[String], position: Position, rewritten: Option<Instant>) {
        let is_copy = self.position.is_some_and(|p| p.era() != position.era());
        self.rows.retain(|name, until| {
            if is_copy && until.is_none() {
                *until = rewritten;
            }
            until.is_some() || names.contains(name)
        });
        for name in names {
            self.insert(name);
        }
        self.position = Some(position);
    }

    /// Records that a data centre is evacuated.
    pub fn insert(&mut self, name: &str) {
        self.rows.insert(name.to_owned(), None);
    }

    /// Records that the evacuation of a data centre has ended.
    pub fn remove(&mut self, name: &str) {
        self.rows.remove(name);
    }

    /// Records that the answer to a call sent at `sent_at` includes all changes up to
    /// `position`.
    pub fn confirm(&mut self, position: Position, sent_at: Instant) {
        self.position = Some(self.position().newest(position));
        self.confirmed = self.confirmed.max(Some(sent_at));
    }

    /// Applies the report of another entry, which the store confirmed at `confirmed` if that
    /// time is available. Reports of another era or of an earlier position are ignored.
    pub fn apply_report(&mut self, report: &Report, confirmed: Option<Instant>) {
        let is_comparable = self
            .position
            .is_none_or(|known| known.era() == report.position.era());
        let is_older = self.position.is_some_and(|known| report.position < known);
        if !is_comparable || is_older {
            return;
        }
        self.replace(&report.data_centres, report.position, None);
        self.confirmed = self.confirmed.max(confirmed);
    }

    /// Removes those that the store has lost and that were not written again in time.
    pub fn expire(&mut self, now: Instant) {
        self.rows
            .retain(|_, until| until.is_none_or(|until| until > now));
    }

    /// Returns the report for other entries.
    #[must_use]
    pub fn report(&self) -> Option<Report> {
        // Evacuations that the store may have lost are kept locally and not reported.
        let firm = self.rows.iter().filter(|(_, until)| until.is_none());
        Some(Report {
            position: self.position?,
            data_centres: firm.map(|(name, _)| name.clone()).collect(),
        })
    }
}
