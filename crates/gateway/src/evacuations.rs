//! The data centres that operators have emptied, as an entry believes it.

use std::time::Duration;

use cactusnotch_base::Table;
use cactusnotch_base::clock::Instant;
use cactusnotch_position::Position;

/// The data centres whose endpoints are to get nothing more.
///
/// The store's answers and other entries tell of them. Of two states that were read in one era
/// of the store the later one counts; what an older copy lacks is kept for a while, in which
/// operators can write it again.
#[derive(Debug, Default)]
pub struct Evacuations {
    /// Each with when it ends, if the store may have lost it.
    rows: Table<String, Option<Instant>>,
    /// The position at which they were read last, none before they are known.
    position: Option<Position>,
    /// When the question was asked whose answer showed these and no others.
    confirmed: Option<Instant>,
}

/// What one entry tells others.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// The position at which the state was read.
    pub position: Position,
    /// The data centres that are evacuated.
    pub data_centres: Vec<String>,
}

impl Evacuations {
    /// Tells whether they are known.
    #[must_use]
    pub const fn are_known(&self) -> bool {
        self.position.is_some()
    }

    /// Returns the position up to which they are known.
    #[must_use]
    pub fn position(&self) -> Position {
        self.position.unwrap_or_default()
    }

    /// Returns the data centres that are evacuated, in the order of their names.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.rows.keys().map(String::as_str)
    }

    /// Returns how old the knowledge is, if it has been confirmed.
    #[must_use]
    pub fn age(&self, now: Instant) -> Option<Duration> {
        Some(now.saturating_duration_since(self.confirmed?))
    }

    /// Takes a listing. What it lacks is over; but one of a later era may lack what operators
    /// will write again, which is kept until `rewritten`.
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

    /// Takes that a data centre is evacuated.
    pub fn insert(&mut self, name: &str) {
        self.rows.insert(name.to_owned(), None);
    }

    /// Takes that the evacuation of a data centre was taken back.
    pub fn remove(&mut self, name: &str) {
        self.rows.remove(name);
    }

    /// Takes that an answer to what was asked at `asked` shows all changes up to `position`.
    pub fn confirm(&mut self, position: Position, asked: Instant) {
        self.position = Some(self.position().newest(position));
        self.confirmed = self.confirmed.max(Some(asked));
    }

    /// Takes what another entry tells, which was confirmed at `confirmed` if that is known.
    /// Of another era it says nothing here.
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

    /// Ends those that the store has lost and nobody has written again.
    pub fn expire(&mut self, now: Instant) {
        self.rows
            .retain(|_, until| until.is_none_or(|until| until > now));
    }

    /// Returns what other entries need to know.
    #[must_use]
    pub fn report(&self) -> Option<Report> {
        // What the store may have lost is each entry's own to keep.
        let firm = self.rows.iter().filter(|(_, until)| until.is_none());
        Some(Report {
            position: self.position?,
            data_centres: firm.map(|(name, _)| name.clone()).collect(),
        })
    }
}
