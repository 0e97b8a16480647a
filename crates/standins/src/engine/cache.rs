//! The bounded cache of prompt prefixes and the events it gives.

use std::time::Duration;

use cactusnotch_base::Table;
use cactusnotch_base::clock::Instant;
use cactusnotch_base::number::Sequence;
use cactusnotch_derive::message;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The number of prompt tokens in one block of the cache.
pub const BLOCK: usize = 16;

/// The number of events that are kept for callers.
const EVENTS_KEPT: usize = 4096;

/// What happened to a block of the cache.
#[message]
#[derive(Copy, Eq)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// The block was stored.
    Stored,
    /// The block was evicted.
    Removed,
}

/// One event of the cache.
#[message]
#[derive(Eq)]
pub struct Event {
    /// The position of the event; a gap means lost events.
    pub sequence: Sequence,
    /// What happened.
    pub change: Change,
    /// The block, named by the hash of the prompt up to its end.
    pub block: u64,
}

#[derive(Debug)]
pub(crate) struct Cache {
    blocks: Table<u64, u64>,
    capacity: usize,
    used: u64,
    next: Sequence,
    events: Vec<(Instant, Event)>,
    loss: f64,
    random: StdRng,
}

impl Cache {
    /// Creates a cache of `capacity` tokens whose events get lost with
    /// probability `loss`.
    pub(crate) fn new(capacity: usize, loss: f64, seed: u64) -> Self {
        Self {
            blocks: Table::new(),
            capacity: capacity / BLOCK,
            used: 0,
            next: Sequence(1),
            events: Vec::new(),
            loss,
            random: StdRng::seed_from_u64(seed),
        }
    }

    /// Returns the number of tokens held.
    pub(crate) fn tokens(&self) -> usize {
        self.blocks.len() * BLOCK
    }

    /// Puts the blocks of `prompt` into the cache and returns how many tokens
    /// of it were there already.
    pub(crate) fn admit(&mut self, model: &str, prompt: &str, now: Instant) -> usize {
        let blocks = blocks(model, prompt);
        let known = blocks
            .iter()
            .take_while(|block| self.blocks.contains(*block))
            .count();
        for block in blocks.iter().take(self.capacity) {
            self.used += 1;
            if self.blocks.insert(*block, self.used).is_none() {
                self.record(Change::Stored, *block, now);
            }
        }
        while self.blocks.len() > self.capacity {
            self.evict(now);
        }
        known * BLOCK
    }

    fn evict(&mut self, now: Instant) {
        let oldest = self.blocks.iter().min_by_key(|(_, used)| **used);
        if let Some(block) = oldest.map(|(block, _)| *block) {
            self.blocks.remove(&block);
            self.record(Change::Removed, block, now);
        }
    }

    fn record(&mut self, change: Change, block: u64, now: Instant) {
        let sequence = self.next;
        self.next = sequence.next();
        if self.random.random_bool(self.loss) {
            return;
        }
        if self.events.len() == EVENTS_KEPT {
            self.events.remove(0);
        }
        let event = Event {
            sequence,
            change,
            block,
        };
        self.events.push((now, event));
    }

    /// Returns the events after `after` that are at least `lag` old.
    pub(crate) fn events(&self, after: Sequence, lag: Duration, now: Instant) -> Vec<Event> {
        self.events
            .iter()
            .filter(|(at, event)| event.sequence > after && now.duration_since(*at) >= lag)
            .map(|(_, event)| event.clone())
            .collect()
    }
}

/// Returns the number of tokens of `prompt`: its words.
pub(crate) fn count(prompt: &str) -> usize {
    prompt.split_whitespace().count()
}

/// Returns the names of the whole blocks of `prompt`: each the hash of the
/// block's words, seeded by the block before, the first one by the model.
#[must_use]
pub fn blocks(model: &str, prompt: &str) -> Vec<u64> {
    let words: Vec<&str> = prompt.split_whitespace().collect();
    let mut parent = xxh3_64_with_seed(model.as_bytes(), 0);
    words
        .chunks_exact(BLOCK)
        .map(|block| {
            parent = xxh3_64_with_seed(block.join(" ").as_bytes(), parent);
            parent
        })
        .collect()
}
