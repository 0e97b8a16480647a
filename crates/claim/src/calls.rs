//! The calls of a shard to the platform, with their answers converted to events.

use std::time::Duration;

use cactusnotch_objects::object::{Condition, Object, Path, Version};
use cactusnotch_objects::store::{Error, Store};

use crate::batch::Entry;
use crate::event::Written;
use crate::{Batch, Event};

/// Returns the object kind under which the platform stores a shard's log.
///
/// Each shard has its own kind, so one list call reads exactly one log.
#[must_use]
pub fn kind(shard: u32) -> String {
    format!("claim-{shard}")
}

/// Returns the path of a batch. Names sort in the order of the numbers.
#[must_use]
pub fn path(shard: u32, number: u64) -> Path {
    Path::new(kind(shard), format!("{number:020}"))
}

/// Creates a batch and returns the event for the shard.
pub fn put(store: &impl Store, shard: u32, number: u64, batch: &Batch) -> Event {
    let Ok(value) = serde_json::to_value(batch) else {
        return Event::Put(Written::Refused);
    };
    let written = store.put(&path(shard, number), &value, Condition::Absent);
    Event::Put(match written {
        Ok(version) => Written::Created(version.0),
        Err(Error::Conflict { .. }) => Written::Conflict,
        Err(Error::Refused { .. }) => Written::Refused,
        Err(Error::Unanswered { .. }) => Written::Unanswered,
    })
}

/// Lists the batches written after a version and returns the event for the
/// shard. If an object in the log can't be decoded as a batch, the whole log
/// is unusable and the listing counts as failed.
pub fn list(store: &impl Store, shard: u32, after: u64) -> Event {
    let Ok(changes) = store.changes(&kind(shard), Version(after), Duration::ZERO) else {
        return Event::Unlisted;
    };
    let entries: Option<Vec<_>> = changes.objects.into_iter().map(entry).collect();
    match entries {
        Some(entries) => Event::Listed {
            version: changes.version.0,
            entries,
        },
        None => Event::Unlisted,
    }
}

/// Deletes an old batch. A batch that remains for now is harmless.
///
/// # Errors
///
/// Returns the errors of [`Store::delete`].
pub fn delete(store: &impl Store, shard: u32, number: u64) -> Result<(), Error> {
    store.delete(&path(shard, number), Condition::Always)
}

fn entry(object: Object) -> Option<Entry> {
    Some(Entry {
        number: object.path.name.parse().ok()?,
        version: object.version.0,
        batch: serde_json::from_value(object.value).ok()?,
    })
}
