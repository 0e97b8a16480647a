//! Changes of the roster.

use std::sync::Arc;

use cactusnotch_base::name::Process;
use cactusnotch_derive::message;
use cactusnotch_objects::object::{Changes, Object, Version};
use derive_more::{Display, Error};

use crate::record::Record;
use crate::roster::Row;

/// An object of kind `member` that cannot be decoded.
#[derive(Debug, Display, Error)]
#[display("reading member {name} from the platform: {source}")]
pub struct Error {
    /// The name of the object.
    pub name: String,
    /// The decoder's error.
    pub source: serde_json::Error,
}

/// The changes of the roster after one version up to another.
///
/// It may be applied to any roster whose version is at least
/// [`Delta::after`]; with `after` zero it contains the whole roster.
#[message]
#[derive(Default)]
pub struct Delta {
    /// The version after which the delta is complete.
    #[serde(rename = "a")]
    pub after: Version,
    /// The version up to which the delta is complete.
    #[serde(rename = "t")]
    pub through: Version,
    /// The records written since, each at its latest version.
    #[serde(rename = "r")]
    pub rows: Vec<Row>,
    /// The processes whose records were removed since.
    #[serde(rename = "d")]
    pub removed: Vec<Process>,
}

impl Delta {
    /// Decodes the platform's changes after `after`. Objects that cannot be
    /// decoded are omitted and reported as errors.
    #[must_use]
    pub fn from_changes(after: Version, changes: Changes) -> (Self, Vec<Error>) {
        let mut rows = Vec::new();
        let mut errors = Vec::new();
        for object in changes.objects {
            match row(object) {
                Ok(row) => rows.push(row),
                Err(error) => errors.push(error),
            }
        }
        let removed = changes.removed.into_iter().map(Process::new).collect();
        let delta = Self {
            after,
            through: changes.version,
            rows,
            removed,
        };
        (delta, errors)
    }

    /// Returns the delta with [`Delta::through`] lowered to the version of its last
    /// write, which is the same for all readers of the same change. A removal has
    /// no version of its own, so a delta with removals keeps the version of the
    /// read.
    #[must_use]
    pub fn trimmed(mut self) -> Self {
        let last = self.rows.iter().map(|row| row.version).max();
        if let Some(last) = last.filter(|_| self.removed.is_empty()) {
            self.through = last;
        }
        self
    }

    /// Returns whether nothing changed.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.rows.is_empty() && self.removed.is_empty()
    }
}

fn row(object: Object) -> Result<Row, Error> {
    let name = object.path.name;
    let record: Record = serde_json::from_value(object.value).map_err(|source| Error {
        name: name.clone(),
        source,
    })?;
    Ok(Row {
        record: Arc::new(record),
        version: object.version,
    })
}
