//! The list of members.

use std::sync::Arc;

use cactusnotch_base::Table;
use cactusnotch_base::name::{DataCentre, Process};
use cactusnotch_derive::message;
use cactusnotch_objects::object::Version;

use crate::delta::Delta;
use crate::fingerprint::Fingerprint;
use crate::record::Record;

/// A record with the version of its last write.
#[message]
#[derive(Eq)]
pub struct Row {
    /// The record.
    #[serde(rename = "r")]
    pub record: Arc<Record>,
    /// The version of its last write.
    #[serde(rename = "v")]
    pub version: Version,
}

/// The list of members as of a version of the platform's store.
#[derive(Debug, Clone, Default)]
pub struct Roster {
    rows: Table<Process, Row>,
    through: Version,
    confirmed: Version,
    fingerprints: Table<DataCentre, Fingerprint>,
}

impl Roster {
    /// Returns the version of the last known change.
    #[must_use]
    pub const fn through(&self) -> Version {
        self.through
    }

    /// Returns the version up to which the roster is known to be complete:
    /// nothing changed between [`Roster::through`] and it.
    #[must_use]
    pub fn confirmed(&self) -> Version {
        self.confirmed.max(self.through)
    }

    /// Records that nothing changed up to `version`, according to the platform.
    pub fn confirm(&mut self, version: Version) {
        self.confirmed = self.confirmed.max(version);
    }

    /// Applies a delta and returns whether the roster advanced. An older delta
    /// changes nothing; one that starts after the roster's version is not
    /// applied, since changes in between would be missed.
    pub fn apply(&mut self, delta: &Delta) -> bool {
        if delta.through <= self.through || delta.after > self.confirmed() {
            return false;
        }
        if delta.after == Version(0) {
            self.rows = Table::new();
            self.fingerprints = Table::new();
        }
        for process in &delta.removed {
            self.remove(process);
        }
        for row in &delta.rows {
            self.remove(&row.record.process);
            self.insert(row.clone());
        }
        self.through = delta.through;
        true
    }

    fn insert(&mut self, row: Row) {
        let record = &row.record;
        let fingerprint = self
            .fingerprints
            .get_or_insert_with(record.data_centre.clone(), Fingerprint::default);
        *fingerprint += Fingerprint::of(&record.process, record.incarnation);
        self.rows.insert(record.process.clone(), row);
    }

    fn remove(&mut self, process: &Process) {
        let Some(Row { record, .. }) = self.rows.remove(process) else {
            return;
        };
        let Some(fingerprint) = self.fingerprints.get_mut(&record.data_centre) else {
            return;
        };
        *fingerprint -= Fingerprint::of(process, record.incarnation);
        if *fingerprint == Fingerprint::default() {
            self.fingerprints.remove(&record.data_centre);
        }
    }

    /// Returns the whole roster as a delta.
    #[must_use]
    pub fn snapshot(&self) -> Delta {
        Delta {
            after: Version(0),
            through: self.through,
            rows: self.rows.values().cloned().collect(),
            removed: Vec::new(),
        }
    }

    /// Returns the record of `process`.
    #[must_use]
    pub fn get(&self, process: &Process) -> Option<&Record> {
        self.row(process).map(|row| &*row.record)
    }

    /// Returns the record of `process` with its version.
    #[must_use]
    pub fn row(&self, process: &Process) -> Option<&Row> {
        self.rows.get(process)
    }

    /// Returns the records in the order of their names.
    #[must_use]
    pub fn iter(&self) -> impl ExactSizeIterator<Item = &Record> {
        self.rows.values().map(|row| &*row.record)
    }

    /// Returns the number of members.
    #[must_use]
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns whether there are no members.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Returns each data centre with the fingerprint of its members.
    #[must_use]
    pub fn data_centres(&self) -> impl ExactSizeIterator<Item = (&DataCentre, Fingerprint)> {
        self.fingerprints.iter().map(|(name, of)| (name, *of))
    }
}
