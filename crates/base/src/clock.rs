//! Time as an interface, so that decisions can be run under a test's clock.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime};

/// A source of monotonic and of wall-clock time.
pub trait Clock: Clone + Send + Sync + 'static {
    /// Returns the current monotonic time.
    fn now(&self) -> Instant;

    /// Returns the current wall-clock time.
    fn wall(&self) -> SystemTime;
}

/// The clock of the operating system.
#[derive(Debug, Clone, Copy, Default)]
pub struct System;

impl Clock for System {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}

/// A clock that moves only when it is told to.
#[derive(Debug, Clone)]
pub struct Manual {
    start: Instant,
    wall_start: SystemTime,
    elapsed: Arc<Mutex<Duration>>,
}

impl Manual {
    /// Creates a clock that stands at the Unix epoch plus `since_epoch`.
    #[must_use]
    pub fn new(since_epoch: Duration) -> Self {
        Self {
            start: Instant::now(),
            wall_start: SystemTime::UNIX_EPOCH + since_epoch,
            elapsed: Arc::default(),
        }
    }

    /// Moves the clock forward by `step`.
    pub fn advance(&self, step: Duration) {
        *self.elapsed.lock().unwrap_or_else(PoisonError::into_inner) += step;
    }

    fn elapsed(&self) -> Duration {
        *self.elapsed.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Clock for Manual {
    fn now(&self) -> Instant {
        self.start + self.elapsed()
    }

    fn wall(&self) -> SystemTime {
        self.wall_start + self.elapsed()
    }
}
