//! How the caps are divided among homes, by revision.

use std::time::Duration;

use cactusnotch_base::Table;
use cactusnotch_base::clock::Instant;
use cactusnotch_base::name::Process;
use cactusnotch_base::number::Revision;

use crate::quota::homes::{homes, part};
use crate::quota::{Key, Options};

/// A cap over all entries.
pub type Cap = u32;

/// The division of the caps under the revisions that may be in use.
///
/// A part that shrinks does so at once; one that grows waits until all
/// entries are known to have taken the revision and their loans under the
/// former one have ended.
#[derive(Debug, Default)]
pub(crate) struct Plan {
    /// The revisions, oldest first.
    versions: Vec<Version>,
}

#[derive(Debug)]
struct Version {
    revision: Revision,
    entries: Vec<Process>,
    caps: Table<Key, Cap>,
    /// The parts that this entry lends.
    parts: Table<Key, u32>,
    /// From when the parts of this revision may be used.
    usable: Option<Instant>,
}

impl Plan {
    /// Adds a newer revision.
    pub(crate) fn set(
        &mut self,
        me: &Process,
        revision: Revision,
        entries: &[Process],
        caps: Table<Key, Cap>,
        options: &Options,
    ) {
        if self.versions.last().is_some_and(|v| v.revision >= revision) {
            return;
        }
        self.versions.push(Version {
            revision,
            entries: entries.to_vec(),
            parts: parts(me, entries, &caps, options),
            caps,
            usable: None,
        });
    }

    /// Notes that all entries have taken `revision` or a newer one.
    pub(crate) fn confirm(&mut self, revision: Revision, hold: Duration, now: Instant) {
        for version in &mut self.versions {
            if version.revision <= revision {
                version.usable.get_or_insert(now + hold);
            }
        }
    }

    /// Forgets all confirmations, as a fresh process would not have them.
    pub(crate) fn unconfirm(&mut self) {
        for version in &mut self.versions {
            version.usable = None;
        }
    }

    /// Drops the revisions that are older than the newest usable one.
    pub(crate) fn prune(&mut self, now: Instant) {
        if let Some(at) = self.versions.iter().rposition(|v| v.is_usable(now)) {
            self.versions.drain(..at);
        }
    }

    /// Returns the part of a cap that this entry may lend: the least under all
    /// revisions that others may use, which is nothing if one of them is not
    /// known here.
    pub(crate) fn part(&self, key: &Key, now: Instant) -> u32 {
        let newest = self.versions.iter().rposition(|v| v.is_usable(now));
        let Some(newest) = newest else {
            return 0;
        };
        let versions = &self.versions[newest..];
        let mut pairs = versions.iter().zip(&versions[1..]);
        if pairs.any(|(a, b)| a.revision.next() != b.revision) {
            return 0;
        }
        let part = |version: &Version| version.parts.get(key).copied().unwrap_or(0);
        versions.iter().map(part).min().unwrap_or(0)
    }

    /// Returns the cap under the newest revision.
    pub(crate) fn cap(&self, key: &Key) -> Option<Cap> {
        self.versions.last()?.caps.get(key).copied()
    }

    /// Returns the newest revision.
    pub(crate) fn newest(&self) -> Option<Revision> {
        self.versions.last().map(|version| version.revision)
    }

    /// Returns the homes of a cap under the newest revision.
    pub(crate) fn homes(&self, key: &Key, options: &Options) -> Vec<&Process> {
        let Some(newest) = self.versions.last() else {
            return Vec::new();
        };
        let cap = newest.caps.get(key).copied().unwrap_or(0);
        homes(key, cap, &newest.entries, options)
    }
}

impl Version {
    fn is_usable(&self, now: Instant) -> bool {
        self.usable.is_some_and(|at| at <= now)
    }
}

/// Returns the parts of the caps that `me` lends.
fn parts(
    me: &Process,
    entries: &[Process],
    caps: &Table<Key, Cap>,
    options: &Options,
) -> Table<Key, u32> {
    let own = |(key, &cap): (&Key, &Cap)| {
        let homes = homes(key, cap, entries, options);
        let rank = homes.iter().position(|home| *home == me)?;
        Some((key.clone(), part(cap, rank, homes.len())))
    };
    caps.iter().filter_map(own).collect()
}
