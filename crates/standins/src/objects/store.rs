//! The objects themselves: versions, conditions and changes.

use cactusnotch_base::Table;
use cactusnotch_derive::record;
use cactusnotch_objects::object::{Changes, Condition, Object, Path, Version};
use serde_json::Value;

/// One object, or the trace of a deleted one.
#[record]
struct Row {
    version: Version,
    value: Option<Value>,
    former: Option<(Version, Value)>,
}

/// Why a write had no effect.
#[derive(Debug)]
pub(crate) enum Refusal {
    /// The condition did not hold; the object as it stands.
    Condition(Option<Object>),
    /// There is no such object.
    Missing,
}

/// All objects, under one growing version.
#[derive(Debug, Default)]
pub(crate) struct Store {
    version: Version,
    rows: Table<Path, Row>,
}

impl Store {
    /// Returns the version of the last write.
    pub(crate) const fn version(&self) -> Version {
        self.version
    }

    /// Returns the object at `path`.
    pub(crate) fn get(&self, path: &Path) -> Option<Object> {
        let row = self.rows.get(path)?;
        current(path, row)
    }

    /// Writes `value` at `path` if `condition` holds.
    pub(crate) fn put(
        &mut self,
        path: &Path,
        value: Value,
        condition: Condition,
    ) -> Result<Version, Refusal> {
        let standing = self.get(path);
        if !holds(condition, standing.as_ref()) {
            return Err(Refusal::Condition(standing));
        }
        Ok(self.write(path, Some(value), standing))
    }

    /// Deletes the object at `path` if `condition` holds.
    pub(crate) fn delete(&mut self, path: &Path, condition: Condition) -> Result<Version, Refusal> {
        let standing = self.get(path).ok_or(Refusal::Missing)?;
        if !holds(condition, Some(&standing)) {
            return Err(Refusal::Condition(Some(standing)));
        }
        Ok(self.write(path, None, Some(standing)))
    }

    fn write(&mut self, path: &Path, value: Option<Value>, former: Option<Object>) -> Version {
        self.version = Version(self.version.0 + 1);
        let row = Row {
            version: self.version,
            value,
            former: former.map(|object| (object.version, object.value)),
        };
        self.rows.insert(path.clone(), row);
        self.version
    }

    /// Returns what changed in `kind` after version `after`.
    pub(crate) fn changes(&self, kind: &str, after: Version) -> Changes {
        let mut changes = Changes {
            version: self.version,
            objects: Vec::new(),
            removed: Vec::new(),
        };
        for (path, row) in self.changed(kind, after) {
            match current(path, row) {
                Some(object) => changes.objects.push(object),
                None if after == Version(0) => {}
                None => changes.removed.push(path.name.clone()),
            }
        }
        changes
    }

    /// Tells whether an object of `kind` changed after version `after`.
    pub(crate) fn has_changed(&self, kind: &str, after: Version) -> bool {
        self.changed(kind, after).next().is_some()
    }

    /// Returns a former state of the object of `kind` that was written last,
    /// as a watch that goes back in time would tell it.
    pub(crate) fn former(&self, kind: &str) -> Option<Changes> {
        let (path, row) = self
            .changed(kind, Version(0))
            .max_by_key(|(_, row)| row.version)?;
        let (version, value) = row.former.clone()?;
        Some(Changes {
            version,
            objects: vec![Object {
                path: path.clone(),
                version,
                value,
            }],
            removed: Vec::new(),
        })
    }

    fn changed(&self, kind: &str, after: Version) -> impl Iterator<Item = (&Path, &Row)> {
        self.rows
            .iter()
            .filter(move |(path, row)| path.kind == kind && row.version > after)
    }
}

fn current(path: &Path, row: &Row) -> Option<Object> {
    let value = row.value.clone()?;
    Some(Object {
        path: path.clone(),
        version: row.version,
        value,
    })
}

fn holds(condition: Condition, standing: Option<&Object>) -> bool {
    match condition {
        Condition::Absent => standing.is_none(),
        Condition::Version(version) => standing.is_some_and(|object| object.version == version),
        Condition::Always => true,
    }
}
