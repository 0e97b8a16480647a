//! The age of a process, by its own clock.

use std::time::Duration;

use cactusnotch_derive::number;
use derive_more::{Display, From, Into};

/// The time since an incarnation started, in milliseconds of its own
/// monotonic clock.
///
/// An age that was learned from the process is a lower bound of its age now,
/// so limits reckoned from it are early and never late.
#[number]
#[derive(Display, From, Into)]
#[serde(transparent)]
pub struct Age(pub u64);

impl Age {
    /// The age that is never reached.
    pub const NEVER: Self = Self(u64::MAX);

    /// Returns the age that follows this one by `time`.
    #[must_use]
    pub fn after(self, time: Duration) -> Self {
        Self(self.0.saturating_add(milliseconds(time)))
    }

    /// Returns the time from `earlier` to this age, or zero.
    #[must_use]
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}

impl From<Duration> for Age {
    fn from(time: Duration) -> Self {
        Self(milliseconds(time))
    }
}

fn milliseconds(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
