//! Decides how long a connection may wait for its peer.

use std::time::Duration;

use cactusnotch_base::clock::Instant;

use crate::figures::Figures;

/// How long sent data may stay unacknowledged before a connection counts as broken.
/// Hosts behind a network partition don't respond at all. One second is far above any
/// round trip within a region and below callers' time budgets.
pub(crate) const UNACKNOWLEDGED_MAX: Duration = Duration::from_secs(1);
/// How long a connection is kept after its peer has answered a window probe.
const EXTENSION: Duration = Duration::from_secs(2);

/// How long a peer has no room before the kernel may have sent it a window probe: half of its
/// shortest interval.
const PROBED_AFTER: Duration = Duration::from_millis(100);

/// The state of the decision how long a connection may wait for its peer (`TCP_USER_TIMEOUT`).
///
/// The kernel counts the time-out from the first retransmission or window probe of data on,
/// sends another one at the end of the time-out at the latest, and closes the connection there
/// if the time-out was not extended. So a peer without room is probed at least every
/// [`EXTENSION`], and one that falls silent is noticed within twice that time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Liveness {
    retry: Option<Retry>,
    timeout: Duration,
    /// How long the peer had had no room when no data waited for it last.
    limited_before: Duration,
}

/// Data that was sent again, or may have waited for a window probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Retry {
    /// When that was first seen.
    since: Instant,
    /// The number of bytes written when it was last seen. The kernel counts the time-out until
    /// all of them are acknowledged.
    written: u64,
}

impl Liveness {
    /// Creates the state of a connection without unacknowledged data.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            retry: None,
            timeout: UNACKNOWLEDGED_MAX,
            limited_before: Duration::ZERO,
        }
    }

    /// Returns the time-out of a connection to which `written` bytes were written and that has
    /// these figures at `now`.
    pub fn timeout(&mut self, figures: &Figures, written: u64, now: Instant) -> Duration {
        // A probe can come and go between two checks: data that a small window lets through resets
        // the retries, but not the time that the kernel counts.
        let limited = figures.window_limited.saturating_sub(self.limited_before);
        if figures.retries > 0 || limited >= PROBED_AFTER {
            let since = self.retry.map_or(now, |retry| retry.since);
            self.retry = Some(Retry { since, written });
        }
        match self.retry {
            Some(retry) if figures.acknowledged < retry.written => {
                let retrying = now.saturating_duration_since(retry.since);
                // The last segment may be newer than the last acknowledgement.
                let is_heard = figures.since_acknowledgement < retrying.min(UNACKNOWLEDGED_MAX);
                let is_answered = figures.retries > 0 && figures.is_answered();
                if is_answered || is_heard {
                    self.timeout = retrying + EXTENSION;
                }
            }
            _ => {
                self.retry = None;
                self.timeout = UNACKNOWLEDGED_MAX;
            }
        }
        if figures.unsent == 0 || figures.acknowledged >= written {
            self.limited_before = figures.window_limited;
        }
        self.timeout
    }
}

impl Default for Liveness {
    fn default() -> Self {
        Self::new()
    }
}
