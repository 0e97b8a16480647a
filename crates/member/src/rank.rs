//! The order of processes within a data centre.
//!
//! Entries come before agents; within a role the order follows a hash of the
//! name, which makes neighbours in rank unlikely to share a rack. The order
//! depends only on roles and names, so a restart in place changes no rank.

use cactusnotch_base::name::{DataCentre, Process};
use xxhash_rust::xxh3::xxh3_64;

use crate::record::{Record, Role};
use crate::roster::Roster;

/// Returns the sort key of a record; a smaller key ranks first.
#[must_use]
pub fn key(record: &Record) -> (Role, u64, &Process) {
    let name = &record.process;
    (record.role, xxh3_64(name.as_str().as_bytes()), name)
}

/// Returns the members of `data_centre` in the order of their ranks.
#[must_use]
pub fn order<'a>(roster: &'a Roster, data_centre: &DataCentre) -> Vec<&'a Record> {
    let members = roster.iter().filter(|r| r.data_centre == *data_centre);
    let mut keyed: Vec<_> = members.map(|record| (key(record), record)).collect();
    keyed.sort_unstable_by_key(|(key, _)| *key);
    keyed.into_iter().map(|(_, record)| record).collect()
}
