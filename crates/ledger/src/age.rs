//! The age of a process, measured by its own clock.

use std::time::Duration;

use cactusnotch_derive::number;
use derive_more::{Display, From, Into};

/// The time since an incarnation started, in milliseconds of its own
/// monotonic clock.
///
/// An age reported by the process is a lower bound of its current age, so
/// limits computed from it can be too early but never too late.
#[number]
#[derive(Display, From, Into)]
#[serde(transparent)]
pub struct Age(pub u64);

impl Age {
    /// An age that is never reached.
    pub const NEVER: Self = Self(u64::MAX);

    /// Returns this age plus `time`.
    #[must_use]
    pub fn after(self, time: Duration) -> Self {
        Self(self.0.saturating_add(milliseconds(time)))
    }

    /// Returns the time from `earlier` to this age, or zero if `earlier` is later.
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
