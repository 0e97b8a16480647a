//! The log of a shard, reduced to the current holder of each key.

use std::collections::VecDeque;

use cactusnotch_ledger::{Age, Generations, Holder};

use crate::batch::{Batch, Entry};
use crate::{Options, Record};

/// The number of tables into which the claims of one lifetime are divided.
const PERIODS: u32 = 32;

/// The current holder of a key.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct Held {
    pub(crate) digest: u64,
    pub(crate) holder: Holder,
}

/// The effect of a record on its key.
pub(crate) enum Effect<'a> {
    /// The record's attempt becomes the holder.
    Granted,
    /// The record's attempt already holds the key.
    Unchanged,
    /// Another attempt holds the key.
    Rejected(&'a Held),
}

/// The claims of a log, applied in the order of the batch numbers.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct Log {
    held: Generations<u128, Held>,
    /// The number of each batch and its creation time in milliseconds.
    batches: VecDeque<(u64, u64)>,
    /// The number of the next batch.
    pub(crate) next: u64,
    /// The version up to which all batches were read.
    pub(crate) version: u64,
    /// The latest creation time of a batch.
    latest_ms: u64,
}

impl Log {
    pub(crate) fn new(options: &Options) -> Self {
        Self {
            held: Generations::new(options.retention() / PERIODS),
            batches: VecDeque::new(),
            next: 0,
            version: 0,
            latest_ms: 0,
        }
    }

    /// Returns the effect that `record` would have on its key.
    pub(crate) fn effect(&self, record: &Record) -> Effect<'_> {
        match self.held.get(&record.fingerprint.as_u128()) {
            None => Effect::Granted,
            Some(held) if held.holder.attempt == record.holder.attempt => Effect::Unchanged,
            Some(held) if held.digest != record.digest => Effect::Rejected(held),
            Some(held) if record.from == Some(held.holder.attempt) => Effect::Granted,
            Some(held) => Effect::Rejected(held),
        }
    }

    /// Appends a batch that is stored in the platform under the next number.
    pub(crate) fn append(&mut self, batch: &Batch, version: u64) {
        self.latest_ms = self.latest_ms.max(batch.made_ms);
        for record in &batch.records {
            if matches!(self.effect(record), Effect::Granted) {
                let held = Held {
                    digest: record.digest,
                    holder: record.holder.clone(),
                };
                let made = Age(self.latest_ms);
                self.held.insert(record.fingerprint.as_u128(), held, made);
            }
        }
        self.batches.push_back((self.next, batch.made_ms));
        self.next += 1;
        self.version = self.version.max(version);
    }

    /// Appends the batches of a listing, and returns those that were new.
    ///
    /// A writer that was paused for a long time can create a deleted number
    /// again. Such a batch has a later version than the numbers that follow
    /// it, and is ignored.
    pub(crate) fn extend(&mut self, version: u64, mut entries: Vec<Entry>) -> Vec<Entry> {
        entries.sort_by_key(|entry| entry.number);
        let mut lowest = u64::MAX;
        for entry in entries.iter_mut().rev() {
            let follows = entry.version < lowest;
            lowest = lowest.min(entry.version);
            if !follows {
                entry.version = 0;
            }
        }
        entries.retain(|entry| entry.version > 0 && entry.number >= self.next);
        for entry in &entries {
            self.next = entry.number;
            self.append(&entry.batch, entry.version);
        }
        self.version = self.version.max(version);
        entries
    }

    /// Removes the claims older than the retention in `options`.
    pub(crate) fn expire(&mut self, wall_ms: u64, options: &Options) {
        let now = Age(wall_ms);
        while self.held.expire(now, options.retention()).is_some() {}
    }

    /// Removes the oldest batch if its retention is over, and returns its number.
    ///
    /// Call it only after an append: the latest batch then always remains, and
    /// numbers never restart from zero.
    pub(crate) fn trim(&mut self, wall_ms: u64, options: &Options) -> Option<u64> {
        let (number, made_ms) = *self.batches.front()?;
        let old = Age(wall_ms).since(Age(made_ms)) > options.batch_retention();
        if !old {
            return None;
        }
        self.batches.pop_front();
        Some(number)
    }

    pub(crate) fn keys(&self) -> usize {
        self.held.len()
    }
}
