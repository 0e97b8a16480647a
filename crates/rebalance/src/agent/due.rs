//! When the periodic tasks of an agent are due.

use std::time::Duration;

use cactusnotch_base::clock::Instant;

/// When each periodic task last ran.
#[derive(Debug, Default)]
pub(crate) struct Due {
    pub(crate) count: Option<Instant>,
    pub(crate) load: Option<Instant>,
    pub(crate) seek: Option<Instant>,
    /// Requests for status reports, on behalf of an unresponsive leader.
    pub(crate) finish: Option<Instant>,
    pub(crate) status: Option<Instant>,
    /// Announcements of an unchanged round to relays.
    pub(crate) heartbeat: Option<Instant>,
}

/// Returns whether `interval` has passed since `last`, and if so sets `last` to
/// `now`.
pub(crate) fn is_due(last: &mut Option<Instant>, interval: Duration, now: Instant) -> bool {
    let due = last.is_none_or(|at| now.saturating_duration_since(at) >= interval);
    if due {
        *last = Some(now);
    }
    due
}
