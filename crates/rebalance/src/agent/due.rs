//! When the repeated things of an agent are due.

use std::time::Duration;

use cactusnotch_base::clock::Instant;

/// When the repeated things were done last.
#[derive(Debug, Default)]
pub(crate) struct Due {
    pub(crate) count: Option<Instant>,
    pub(crate) load: Option<Instant>,
    pub(crate) seek: Option<Instant>,
    /// Asking how others stand, for a silent leader.
    pub(crate) finish: Option<Instant>,
    pub(crate) tell: Option<Instant>,
    /// Telling relays the round though nothing has changed.
    pub(crate) beat: Option<Instant>,
}

/// Returns whether `every` has passed since `last`, and notes it if so.
pub(crate) fn due(last: &mut Option<Instant>, every: Duration, now: Instant) -> bool {
    let is_due = last.is_none_or(|at| now.saturating_duration_since(at) >= every);
    if is_due {
        *last = Some(now);
    }
    is_due
}
