//! Load reports, which lag behind.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use cactusnotch_derive::message;

/// How busy an engine was.
#[message]
#[derive(Copy, Default, Eq)]
pub struct Load {
    /// The number of requests in the batch.
    pub running: usize,
    /// The number of requests that wait for a slot.
    pub waiting: usize,
    /// The largest number of requests in the batch.
    pub slots: usize,
    /// The number of tokens in the prefix cache.
    pub cache_tokens: usize,
}

/// The reports of the past, up to the age at which they are told.
#[derive(Debug)]
pub(crate) struct Reports {
    lag: Duration,
    past: VecDeque<(Instant, Load)>,
}

impl Reports {
    pub(crate) fn new(lag: Duration, first: Load, now: Instant) -> Self {
        Self {
            lag,
            past: VecDeque::from([(now, first)]),
        }
    }

    /// Records `load` as the state from `now` on.
    pub(crate) fn record(&mut self, load: Load, now: Instant) {
        self.past.push_back((now, load));
        self.forget(now);
    }

    fn forget(&mut self, now: Instant) {
        while self.past.len() > 1 && now.duration_since(self.past[1].0) >= self.lag {
            self.past.pop_front();
        }
    }

    /// Returns the state of `lag` ago.
    pub(crate) fn read(&mut self, now: Instant) -> Load {
        self.forget(now);
        self.past[0].1
    }
}
