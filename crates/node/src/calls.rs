//! The calls that a node makes to the platform.

use std::time::Duration;

use cactusnotch_history::{Entry, Snapshot};
use cactusnotch_member::registration::{self, Answer as Own};
use cactusnotch_member::{Delta, Record, Row};
use cactusnotch_platform::Object;
use cactusnotch_platform::object::{Condition, Path, Version};
use cactusnotch_platform::store::{Error, Store};
use cactusnotch_spread::{Answer, Call, Span};

use crate::payload;

/// The kind of the objects that hold entries of the order.
const ENTRY_KIND: &str = "revision";

/// Makes one call and returns its answer. Blocks its thread.
pub(crate) fn perform<S: Store>(store: &S, own: &Record, call: Call) -> Answer {
    let answer = match call {
        Call::Settings { after, wait } => settings(store, after, wait).map(Answer::Settings),
        Call::Members { after, wait } => members(store, after, wait).map(Answer::Members),
        Call::Own(call) => Ok(Answer::Own(register(store, own, call))),
        Call::Expire { process, version } => {
            let path = Path::new(Record::KIND, process.as_str());
            expire(store, &path, version).map(|()| Answer::Expired)
        }
    };
    answer.unwrap_or_else(|error| {
        metrics::counter!("cactusnotch_node_platform_failures_total").increment(1);
        tracing::debug!(%error, "call to the platform failed");
        Answer::Unanswered
    })
}

fn settings<S: Store>(store: &S, after: Version, wait: Duration) -> Result<Vec<Span>, Error> {
    let mut spans = Vec::new();
    if after == Version(0) {
        spans.extend(stored_snapshot(store)?);
    }
    let changes = store.changes(ENTRY_KIND, after, wait)?;
    let mut entries: Vec<(Entry, Version)> = changes
        .objects
        .into_iter()
        .filter_map(stored_entry)
        .collect();
    entries.sort_by_key(|(entry, _)| entry.revision);
    spans.extend(
        entries
            .into_iter()
            .map(|(entry, version)| payload::entry(entry, version)),
    );
    Ok(spans)
}

fn stored_snapshot<S: Store>(store: &S) -> Result<Option<Span>, Error> {
    let Some(object) = store.get(&Snapshot::path())? else {
        return Ok(None);
    };
    match serde_json::from_value::<Snapshot>(object.value) {
        Ok(snapshot) => Ok(Some(payload::snapshot(snapshot, object.version))),
        Err(error) => {
            tracing::error!(%error, "the platform's snapshot is not understood");
            Ok(None)
        }
    }
}

fn stored_entry(object: Object) -> Option<(Entry, Version)> {
    match serde_json::from_value(object.value) {
        Ok(entry) => Some((entry, object.version)),
        Err(error) => {
            tracing::error!(%error, path = %object.path, "a revision is not understood");
            None
        }
    }
}

fn members<S: Store>(store: &S, after: Version, wait: Duration) -> Result<Delta, Error> {
    let changes = store.changes(Record::KIND, after, wait)?;
    let (delta, errors) = Delta::from_changes(after, changes);
    for error in errors {
        tracing::warn!(%error, "a member is not understood");
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
            tracing::debug!(%error, "own record not reached");
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
