//! What the batches of a log say together.

use std::collections::VecDeque;

use cactusnotch_ledger::{Age, Generations, Holder};

use crate::batch::{Batch, Entry};
use crate::{Options, Record};

/// How many tables the claims of one lifetime are spread over.
const PERIODS: u32 = 32;

/// Who holds a key.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct Held {
    pub(crate) digest: u64,
    pub(crate) holder: Holder,
}

/// What a record does to a key.
pub(crate) enum Effect<'a> {
    /// It takes the key.
    Takes,
    /// It repeats what is so.
    Stands,
    /// Somebody else holds the key.
    Loses(&'a Held),
}

/// The claims of a log, folded in the order of their numbers.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct Log {
    held: Generations<u128, Held>,
    /// The numbers of the batches and when each was made.
    batches: VecDeque<(u64, u64)>,
    /// The number that the next batch will have.
    pub(crate) next: u64,
    /// The version up to which all batches are known.
    pub(crate) version: u64,
    /// The latest time that a batch was made at.
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

    /// Tells what `record` would do to its key.
    pub(crate) fn effect(&self, record: &Record) -> Effect<'_> {
        match self.held.get(&record.fingerprint.as_u128()) {
            None => Effect::Takes,
            Some(held) if held.holder.attempt == record.holder.attempt => Effect::Stands,
            Some(held) if held.digest != record.digest => Effect::Loses(held),
            Some(held) if record.from == Some(held.holder.attempt) => Effect::Takes,
            Some(held) => Effect::Loses(held),
        }
    }

    /// Appends a batch that stands in the platform under the next number.
    pub(crate) fn append(&mut self, batch: &Batch, version: u64) {
        self.latest_ms = self.latest_ms.max(batch.made_ms);
        for record in &batch.records {
            if matches!(self.effect(record), Effect::Takes) {
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

    /// Appends what a listing brought, and returns the batches that were new.
    ///
    /// A number that was deleted can be created again by a writer that was
    /// paused for long. Such a batch has a later version than the numbers
    /// that follow it, and does not count.
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

    /// Forgets the claims that are older than `options` keeps them.
    pub(crate) fn expire(&mut self, wall_ms: u64, options: &Options) {
        let now = Age(wall_ms);
        while self.held.expire(now, options.retention()).is_some() {}
    }

    /// Returns the number of the oldest batch if it need not be kept.
    ///
    /// It is called only after an append, so that the latest batch is always
    /// kept and numbers never start again.
    pub(crate) fn trim(&mut self, wall_ms: u64, options: &Options) -> Option<u64> {
        let (number, made_ms) = *self.batches.front()?;
        let old = Age(wall_ms).since(Age(made_ms)) > options.kept();
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
