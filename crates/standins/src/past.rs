//! What is told only after a lag.

use std::collections::VecDeque;
use std::time::Duration;

use cactusnotch_base::clock::Instant;

/// The states of the past, up to the age at which they are told.
#[derive(Debug)]
pub(crate) struct Past<T> {
    lag: Duration,
    states: VecDeque<(Instant, T)>,
}

impl<T: Clone> Past<T> {
    pub(crate) fn new(lag: Duration, first: T, now: Instant) -> Self {
        Self {
            lag,
            states: VecDeque::from([(now, first)]),
        }
    }

    /// Records `state` as the one that holds from `now` on.
    pub(crate) fn record(&mut self, state: T, now: Instant) {
        self.states.push_back((now, state));
        self.forget(now);
    }

    fn forget(&mut self, now: Instant) {
        while self.states.len() > 1 && now.duration_since(self.states[1].0) >= self.lag {
            self.states.pop_front();
        }
    }

    /// Returns the state of a lag ago.
    pub(crate) fn read(&mut self, now: Instant) -> T {
        self.forget(now);
        self.states[0].1.clone()
    }
}
