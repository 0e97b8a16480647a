//! The calls that a node makes to the platform.

use std::time::Duration;

use cactusnotch_base::number::Revision;
use cactusnotch_history::{Catchup, Fetched, fetch};
use cactusnotch_member::registration::{self, Answer as Own};
use cactusnotch_member::{Delta, Record, Row};
use cactusnotch_objects::Object;
use cactusnotch_objects::object::{Condition, Path, Version};
use cactusnotch_objects::store::{Error, Store};
use cactusnotch_spread::{Answer, Call, Span};
use cactusnotch_telemetry::metric;

use crate::payload;

/// How often the order of edits is read if the snapshot is rewritten meanwhile.
const READS: usize = 3;

/// Makes one call and returns its answer. Blocks the calling thread.
pub(crate) fn perform<S: Store>(store: &S, own: &Record, held: Revision, call: Call) -> Answer {
    let answer = match call {
        Call::Settings { after, wait } => settings(store, held, after, wait).map(Answer::Settings),
        Call::Members { after, wait } => members(store, after, wait)
            .map(Answer::Members)
            .map_err(|error| error.to_string()),
        Call::Own(call) => Ok(Answer::Own(register(store, own, call))),
        Call::Expire { process, version } => {
            let path = Path::new(Record::KIND, process.as_str());
            expire(store, &path, version)
                .map(|()| Answer::Expired)
                .map_err(|error| error.to_string())
        }
    };
    answer.unwrap_or_else(|error| {
        metrics::counter!(metric::NODE_PLATFORM_FAILURES).increment(1);
        tracing::debug!(%error, "call to the platform failed");
        Answer::Unanswered
    })
}

/// Reads the revisions after `held`. The result contains no leftover entries of
/// trimmed revisions.
fn settings<S: Store>(
    store: &S,
    held: Revision,
    after: Version,
    wait: Duration,
) -> Result<Vec<Span>, String> {
    let read = |catchup| fetch(store, catchup).map_err(|error| error.to_string());
    let mut fetched = read(Catchup::after(held, after, wait))?;
    for _ in 0..READS {
        if !is_snapshot_later(&fetched) {
            return Ok(spans(fetched));
        }
        fetched = read(Catchup::new(held))?;
    }
    Err("the snapshot was rewritten during each read".to_owned())
}

/// Returns whether the snapshot was written after the entries were listed. A
/// watch from its version would miss the entries written in between.
fn is_snapshot_later(fetched: &Fetched) -> bool {
    let snapshot = fetched.snapshot.as_ref();
    snapshot.is_some_and(|snapshot| snapshot.version > fetched.version)
}

fn spans(fetched: Fetched) -> Vec<Span> {
    let snapshot = fetched.snapshot.map(|stored| *stored);
    let snapshot = snapshot.map(|stored| payload::snapshot(stored.value, stored.version));
    let entries = fetched.entries.into_iter();
    let entries = entries.map(|stored| payload::entry(stored.value, stored.version));
    snapshot.into_iter().chain(entries).collect()
}

fn members<S: Store>(store: &S, after: Version, wait: Duration) -> Result<Delta, Error> {
    let changes = store.changes(Record::KIND, after, wait)?;
    let (delta, errors) = Delta::from_changes(after, changes);
    for error in errors {
        tracing::warn!(%error, "member record could not be decoded");
    }
    Ok(delta)
}

fn register<S: Store>(store: &S, own: &Record, call: registration::Call) -> Own {
    let path = Path::new(Record::KIND, own.process.as_str());
    let result = match call {
        registration::Call::Find => store
            .get(&path)
            .map(|object| Own::Found(object.and_then(row))),
        registration::Call::Put(record, condition) => put(store, &path, &record, condition),
        registration::Call::Delete(version) => store
            .delete(&path, Condition::Version(version))
            .map(|()| Own::Found(None)),
    };
    match result {
        Ok(answer) => answer,
        Err(Error::Conflict { current, .. }) => Own::Found(current.and_then(|object| row(*object))),
        Err(error) => {
            tracing::debug!(%error, "call for the process's own record failed");
            Own::Unanswered
        }
    }
}

fn put<S: Store>(
    store: &S,
    path: &Path,
    record: &Record,
    condition: Condition,
) -> Result<Own, Error> {
    let value = serde_json::to_value(record).map_err(|error| Error::Refused {
        path: path.clone(),
        detail: error.to_string(),
    })?;
    store.put(path, &value, condition).map(Own::Written)
}

fn row(object: Object) -> Option<Row> {
    let record: Record = serde_json::from_value(object.value).ok()?;
    Some(Row {
        record: record.into(),
        version: object.version,
    })
}

fn expire<S: Store>(store: &S, path: &Path, version: Version) -> Result<(), Error> {
    match store.delete(path, Condition::Version(version)) {
        Err(Error::Conflict { .. }) => Ok(()),
        result => result,
    }
}
