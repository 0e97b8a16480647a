//! The space between calls that the store answers, but not as hoped for.

use std::time::Duration;

use cactusnotch_base::clock::Instant;

/// The first pause, doubled with each further call.
const PAUSE: Duration = Duration::from_millis(100);
/// The longest pause. Changes have to be known within three seconds.
const PAUSE_MAX: Duration = Duration::from_secs(2);
/// The time without a call after which the next one begins anew without a pause.
const CALM: Duration = Duration::from_secs(10);

/// Spaces calls of one task whose repetition depends on what the store answers. The first
/// repetition follows at once; the pauses before further ones double.
#[derive(Debug, Default)]
pub struct Spacing {
    last: Option<Instant>,
    pause: Duration,
}

impl Spacing {
    /// Records that a call was answered at `now`.
    pub fn record(&mut self, now: Instant) {
        let is_repeated = self
            .last
            .is_some_and(|last| now.saturating_duration_since(last) < CALM);
        self.pause = if is_repeated {
            (self.pause * 2).clamp(PAUSE, PAUSE_MAX)
        } else {
            Duration::ZERO
        };
        self.last = Some(now);
    }

    /// Returns how long to wait before the next call.
    #[must_use]
    pub fn left(&self, now: Instant) -> Duration {
        let next = self.last.map(|last| last + self.pause);
        next.map_or(Duration::ZERO, |next| next.saturating_duration_since(now))
    }
}
