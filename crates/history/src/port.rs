//! The execution of calls on a store.

use cactusnotch_base::number::Revision;
use cactusnotch_objects::object::{Condition, Object, Path};
use cactusnotch_objects::store::Error;
use cactusnotch_objects::{Store, object::Version};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::entry::KIND;
use crate::{Call, Entry, Reply, Snapshot, Stored};

fn floor_path() -> Path {
    Path::new("floor", "settings")
}

/// Performs one call on `store`, blocking until it is answered or times out.
pub fn perform<S: Store>(store: &S, call: &Call) -> Reply {
    let reply = match call {
        Call::List { after, wait } => store.changes(KIND, *after, *wait).map(|changes| {
            let mut entries: Vec<_> = changes.objects.iter().filter_map(stored).collect();
            entries.sort_by_key(|entry| entry.value.revision);
            Reply::Listed {
                entries,
                version: changes.version,
            }
        }),
        Call::ReadFloor => store
            .get(&floor_path())
            .map(|object| floor(object.as_ref())),
        Call::ReadSnapshot => store
            .get(&Snapshot::path())
            .map(|object| snapshot(object.as_ref())),
        Call::Create(entry) => write(
            store,
            &Entry::path(entry.revision),
            entry,
            Condition::Absent,
        ),
        Call::ReadEntry(revision) => store
            .get(&Entry::path(*revision))
            .map(|object| Reply::Entry(object.as_ref().and_then(entry).map(Box::new))),
        Call::Remove(revision) => store
            .delete(&Entry::path(*revision), Condition::Always)
            .map(|()| Reply::Done),
        Call::WriteSnapshot(snapshot, condition) => {
            write(store, &Snapshot::path(), snapshot, *condition)
        }
        Call::WriteFloor(revision, condition) => write(store, &floor_path(), revision, *condition),
    };
    reply.unwrap_or_else(|error| failure(&error))
}

fn write<S: Store>(
    store: &S,
    path: &Path,
    value: &impl Serialize,
    condition: Condition,
) -> Result<Reply, Error> {
    match serde_json::to_value(value) {
        Ok(value) => store.put(path, &value, condition).map(|_| Reply::Done),
        Err(error) => Ok(Reply::Failed {
            detail: error.to_string(),
        }),
    }
}

fn failure(error: &Error) -> Reply {
    let detail = error.to_string();
    match error {
        Error::Conflict { current, .. } => {
            Reply::Taken(current.as_deref().and_then(entry).map(Box::new))
        }
        Error::Refused { .. } => Reply::Failed { detail },
        Error::Unanswered { .. } => Reply::Lost { detail },
    }
}

fn entry(object: &Object) -> Option<Entry> {
    decoded::<Entry>(object).filter(|entry| Entry::path(entry.revision) == object.path)
}

fn stored(object: &Object) -> Option<Stored<Entry>> {
    let version = object.version;
    entry(object).map(|value| Stored { value, version })
}

fn floor(object: Option<&Object>) -> Reply {
    let Some(object) = object else {
        return Reply::Floor {
            revision: Revision(0),
            condition: Condition::Absent,
        };
    };
    match decoded(object) {
        Some(revision) => Reply::Floor {
            revision,
            condition: unchanged(object.version),
        },
        None => malformed(object),
    }
}

fn snapshot(object: Option<&Object>) -> Reply {
    let Some(object) = object else {
        return Reply::Snapshot {
            snapshot: None,
            condition: Condition::Absent,
        };
    };
    match decoded(object) {
        Some(snapshot) => Reply::Snapshot {
            snapshot: Some(Box::new(Stored {
                value: snapshot,
                version: object.version,
            })),
            condition: unchanged(object.version),
        },
        None => malformed(object),
    }
}

const fn unchanged(version: Version) -> Condition {
    Condition::Version(version)
}

fn decoded<T: DeserializeOwned>(object: &Object) -> Option<T> {
    serde_json::from_value(object.value.clone()).ok()
}

fn malformed(object: &Object) -> Reply {
    Reply::Failed {
        detail: format!("{} cannot be decoded", object.path),
    }
}
