//! A table of the latest edits.

use std::fmt;
use std::time::{Duration, SystemTime};

use cactusnotch_base::number::Revision;
use cactusnotch_derive::record;
use serde::Serialize;
use uuid::Uuid;

use crate::{Entry, Replica};

/// An accepted edit in readable form.
#[record]
#[derive(Serialize)]
pub struct Row {
    /// The position in the history.
    pub revision: Revision,
    /// The identity of the edit.
    pub edit: String,
    /// When the edit was created, in seconds since the Unix epoch, if its
    /// identity contains a timestamp.
    pub time: Option<u64>,
    /// The time since the creation, in seconds.
    pub age: Option<u64>,
    /// The author of the edit.
    pub author: String,
    /// The reason given by the author.
    pub reason: String,
    /// The operations of the edit.
    pub operations: Vec<String>,
}

/// The latest edits, newest first. `Display` writes a text table; the serialized
/// form is for programs.
#[record]
#[derive(Serialize)]
#[serde(transparent)]
pub struct Listing {
    /// The edits.
    pub rows: Vec<Row>,
}

impl Listing {
    /// Lists up to `count` of the edits retained by `replica`, as of `now`.
    #[must_use]
    pub fn new(replica: &Replica, count: usize, now: SystemTime) -> Self {
        let newest = replica.entries().iter().rev().take(count);
        let epoch = SystemTime::UNIX_EPOCH;
        let now = now.duration_since(epoch).unwrap_or_default();
        Self {
            rows: newest.map(|entry| Row::new(entry, now)).collect(),
        }
    }
}

impl Row {
    fn new(entry: &Entry, now: Duration) -> Self {
        let edit = &entry.edit;
        let time = seconds(&edit.id);
        Self {
            revision: entry.revision,
            edit: edit.id.clone(),
            time,
            age: time.map(|time| now.as_secs().saturating_sub(time)),
            author: edit.author.clone(),
            reason: edit.reason.clone(),
            operations: edit.operations.iter().map(ToString::to_string).collect(),
        }
    }
}

fn seconds(id: &str) -> Option<u64> {
    let (seconds, _) = Uuid::try_parse(id).ok()?.get_timestamp()?.to_unix();
    Some(seconds)
}

impl fmt::Display for Listing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for row in &self.rows {
            let age = row
                .age
                .map_or_else(|| "-".to_owned(), |age| format!("{age}s ago"));
            writeln!(f, "revision {}  {age}  {}", row.revision, row.author)?;
            writeln!(f, "  edit {}: {}", row.edit, row.reason)?;
            for operation in &row.operations {
                writeln!(f, "    {operation}")?;
            }
        }
        Ok(())
    }
}
