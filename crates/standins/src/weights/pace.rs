//! When each call's weights are due.

use std::time::Duration;

use cactusnotch_base::clock::{self, Instant};

use super::{Counts, Options};

/// The rate of a weight store, given out in the order of the calls.
#[derive(Debug)]
pub(crate) struct Pace {
    pub(crate) rate: u64,
    pub(crate) size: usize,
    pub(crate) counts: Counts,
    queue: usize,
    pub(crate) waiting: usize,
    free: Instant,
}

impl Pace {
    pub(crate) fn new(options: &Options) -> Self {
        Self {
            rate: options.rate,
            size: options.size,
            counts: Counts::default(),
            queue: options.queue,
            waiting: 0,
            free: clock::now(),
        }
    }

    /// Queues a call and returns when its weights are due, or nothing if too
    /// many wait.
    pub(crate) fn begin(&mut self, now: Instant) -> Option<Instant> {
        if self.waiting >= self.queue {
            self.counts.refused += 1;
            return None;
        }
        self.waiting += 1;
        self.free = self.free.max(now) + self.transfer();
        Some(self.free)
    }

    fn transfer(&self) -> Duration {
        let size = u64::try_from(self.size).unwrap_or(u64::MAX);
        let nanos = u128::from(size) * 1_000_000_000 / u128::from(self.rate.max(1));
        Duration::from_nanos(u64::try_from(nanos).unwrap_or(u64::MAX))
    }

    /// Notes that a call was served.
    pub(crate) fn served(&mut self) {
        self.counts.served += 1;
        self.counts.bytes += u64::try_from(self.size).unwrap_or(u64::MAX);
    }

    /// Ends a call, served or not.
    pub(crate) fn end(&mut self) {
        self.waiting -= 1;
    }
}
