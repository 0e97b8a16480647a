//! An interface to time, which lets tests run decisions under a clock of their own.
//!
//! A host may be suspended for seconds. The monotonic clock of the standard library stops
//! meanwhile, so a key's confirmation, a lease or a caller's deadline would seem as recent after
//! the suspension as before. [`Instant`] counts the time of a suspension.

use std::cell::RefCell;
use std::ops::{Add, AddAssign, Sub, SubAssign};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime};

use nix::time::{ClockId, clock_gettime};

/// The offset of the host's start from the first instant. It lets events before the start have
/// an instant as well.
const BEFORE_START: Duration = Duration::from_hours(24 * 365);

/// An instant of a monotonic clock that counts the time for which the host is suspended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Instant(Duration);

impl Instant {
    /// Returns the time since this instant, zero if it is in the future.
    #[must_use]
    pub fn elapsed(&self) -> Duration {
        now().saturating_duration_since(*self)
    }

    /// Returns the time remaining until this instant, zero if it has passed.
    #[must_use]
    pub fn remaining(&self) -> Duration {
        self.saturating_duration_since(now())
    }

    /// Returns the time since `earlier`, zero if that is later.
    #[must_use]
    pub const fn saturating_duration_since(&self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// Returns the time since `earlier`, zero if that is later.
    #[must_use]
    pub const fn duration_since(&self, earlier: Self) -> Duration {
        self.saturating_duration_since(earlier)
    }

    /// Returns the time since `earlier`, `None` if that is later.
    #[must_use]
    pub fn checked_duration_since(&self, earlier: Self) -> Option<Duration> {
        self.0.checked_sub(earlier.0)
    }

    /// Returns the instant `step` later, `None` on overflow.
    #[must_use]
    pub fn checked_add(&self, step: Duration) -> Option<Self> {
        self.0.checked_add(step).map(Self)
    }

    /// Returns the instant `step` earlier, `None` on underflow.
    #[must_use]
    pub fn checked_sub(&self, step: Duration) -> Option<Self> {
        self.0.checked_sub(step).map(Self)
    }
}

impl Add<Duration> for Instant {
    type Output = Self;

    fn add(self, step: Duration) -> Self {
        Self(self.0 + step)
    }
}

impl AddAssign<Duration> for Instant {
    fn add_assign(&mut self, step: Duration) {
        self.0 += step;
    }
}

impl Sub<Duration> for Instant {
    type Output = Self;

    fn sub(self, step: Duration) -> Self {
        Self(self.0.saturating_sub(step))
    }
}

impl SubAssign<Duration> for Instant {
    fn sub_assign(&mut self, step: Duration) {
        self.0 = self.0.saturating_sub(step);
    }
}

impl Sub for Instant {
    type Output = Duration;

    fn sub(self, earlier: Self) -> Duration {
        self.saturating_duration_since(earlier)
    }
}

/// A source of monotonic and of wall-clock time.
pub trait Clock: Clone + Send + Sync + 'static {
    /// Returns the current monotonic time.
    fn now(&self) -> Instant;

    /// Returns the current wall-clock time.
    fn wall(&self) -> SystemTime;
}

/// The clock of the operating system, plus the simulated suspension of the current thread.
#[derive(Debug, Clone, Copy, Default)]
pub struct System;

impl Clock for System {
    fn now(&self) -> Instant {
        now()
    }

    fn wall(&self) -> SystemTime {
        wall()
    }
}

thread_local! {
    /// The simulated suspension of this thread's host, added to the real one.
    static SUSPENSION: RefCell<Option<Suspension>> = const { RefCell::new(None) };
}

/// Returns the current time of the operating system's clock that counts suspensions.
///
/// # Panics
///
/// Panics if the operating system has no such clock; Linux has had it since 2.6.39.
#[must_use]
pub fn now() -> Instant {
    let time = clock_gettime(ClockId::CLOCK_BOOTTIME);
    let since_start = Duration::from(time.expect("Linux has this clock"));
    Instant(BEFORE_START + since_start + suspended())
}

/// Returns the current time of day.
#[must_use]
#[expect(clippy::disallowed_methods, reason = "this is the clock")]
pub fn wall() -> SystemTime {
    SystemTime::now() + suspended()
}

fn suspended() -> Duration {
    SUSPENSION.with_borrow(|suspension| {
        suspension
            .as_ref()
            .map_or(Duration::ZERO, Suspension::total)
    })
}

/// A simulated suspension of a thread's host, for tests. It advances all clocks of this module,
/// but not the runtime's timers.
#[derive(Debug, Clone, Default)]
pub struct Suspension(Arc<Mutex<Duration>>);

impl Suspension {
    /// Installs this suspension for the current thread.
    pub fn install(&self) {
        SUSPENSION.with_borrow_mut(|suspension| *suspension = Some(self.clone()));
    }

    /// Extends the suspension by `time`.
    pub fn extend(&self, time: Duration) {
        *self.lock() += time;
    }

    fn total(&self) -> Duration {
        *self.lock()
    }

    fn lock(&self) -> MutexGuard<'_, Duration> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A clock that advances only on request.
#[derive(Debug, Clone)]
pub struct Manual {
    start: Instant,
    wall_start: SystemTime,
    elapsed: Arc<Mutex<Duration>>,
}

impl Manual {
    /// Creates a clock set to the Unix epoch plus `since_epoch`.
    #[must_use]
    pub fn new(since_epoch: Duration) -> Self {
        Self {
            start: now(),
            wall_start: SystemTime::UNIX_EPOCH + since_epoch,
            elapsed: Arc::default(),
        }
    }

    /// Advances the clock by `step`.
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
