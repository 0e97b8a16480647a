//! The division of the caps among lenders, by revision.

use std::time::Duration;

use cactusnotch_base::Table;
use cactusnotch_base::clock::Instant;
use cactusnotch_base::name::Process;
use cactusnotch_base::number::Revision;

use crate::quota::lenders::{allotment, lenders};
use crate::quota::{Key, Options};

/// A cap over all entries.
pub type Cap = u32;

/// The division of the caps under the revisions that may be in use.
///
/// An allotment shrinks at once, but grows only after all entries are confirmed
/// to have applied the revision and the quota lent under the previous one has
/// expired.
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
    /// The allotments that this entry lends.
    allotments: Table<Key, u32>,
    /// From when the allotments of this revision may be used.
    usable_from: Option<Instant>,
}

impl Plan {
    /// Adds a newer revision.
    pub(crate) fn add(
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
            allotments: allotments(me, entries, &caps, options),
            caps,
            usable_from: None,
        });
    }

    /// Confirms that all entries have applied `revision` or a newer one.
    pub(crate) fn confirm(&mut self, revision: Revision, hold: Duration, now: Instant) {
        for version in &mut self.versions {
            if version.revision <= revision {
                version.usable_from.get_or_insert(now + hold);
            }
        }
    }

    /// Drops all confirmations, as after a restart.
    pub(crate) fn unconfirm(&mut self) {
        for version in &mut self.versions {
            version.usable_from = None;
        }
    }

    /// Drops the revisions older than the newest usable one.
    pub(crate) fn prune(&mut self, now: Instant) {
        if let Some(at) = self.versions.iter().rposition(|v| v.is_usable(now)) {
            self.versions.drain(..at);
        }
    }

    /// Returns the allotment of a cap that this entry may lend: the minimum under
    /// all revisions that other entries may use, or zero if this entry has
    /// missed one of them.
    pub(crate) fn allotment(&self, key: &Key, now: Instant) -> u32 {
        let newest = self.versions.iter().rposition(|v| v.is_usable(now));
        let Some(newest) = newest else {
            return 0;
        };
        let versions = &self.versions[newest..];
        let mut pairs = versions.iter().zip(&versions[1..]);
        if pairs.any(|(a, b)| a.revision.next() != b.revision) {
            return 0;
        }
        let allotment = |version: &Version| version.allotments.get(key).copied().unwrap_or(0);
        versions.iter().map(allotment).min().unwrap_or(0)
    }

    /// Returns the cap under the newest revision.
    pub(crate) fn cap(&self, key: &Key) -> Option<Cap> {
        self.versions.last()?.caps.get(key).copied()
    }

    /// Returns the newest revision.
    pub(crate) fn newest(&self) -> Option<Revision> {
        self.versions.last().map(|version| version.revision)
    }

    /// Returns the lenders of a cap under the newest revision.
    pub(crate) fn lenders(&self, key: &Key, options: &Options) -> Vec<&Process> {
        let Some(newest) = self.versions.last() else {
            return Vec::new();
        };
        let cap = newest.caps.get(key).copied().unwrap_or(0);
        lenders(key, cap, &newest.entries, options)
    }
}

impl Version {
    fn is_usable(&self, now: Instant) -> bool {
        self.usable_from.is_some_and(|at| at <= now)
    }
}

/// Returns the allotments of the caps that `me` lends.
fn allotments(
    me: &Process,
    entries: &[Process],
    caps: &Table<Key, Cap>,
    options: &Options,
) -> Table<Key, u32> {
    let own = |(key, &cap): (&Key, &Cap)| {
        let lenders = lenders(key, cap, entries, options);
        let rank = lenders.iter().position(|lender| *lender == me)?;
        Some((key.clone(), allotment(cap, rank, lenders.len())))
    };
    caps.iter().filter_map(own).collect()
}
