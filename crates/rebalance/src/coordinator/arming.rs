//! Decides how many passes ahead a group is held.

use std::time::Duration;

use cactusnotch_base::clock::Instant;

use crate::cadence::Cadence;

/// How many passes ahead the group is held while their duration is unknown: enough for the
/// order to arrive before the pass begins.
const PASSES_AHEAD: u64 = 2;
/// The most passes ahead. Further ahead a round takes longer, and demand shifts meanwhile. A new
/// coordinator excludes as many passes, which former ones can have named.
pub(super) const PASSES_AHEAD_MAX: u64 = 8;
/// The time from reading the own endpoint's state until a hold that follows from it is
/// confirmed: a message to another host, its order, and a call on this host.
const HOLD_LATENCY: Duration = Duration::from_millis(15);
/// The least time within which the rank that has held the group must confirm that it is
/// responsive; the time that arming took recently applies if it is longer. A rank that
/// takes longer is out of reach. The held pass is due after about as long, and a pause of
/// 0.12 s would make all running streams late.
const CONFIRM_TIMEOUT_MIN: Duration = Duration::from_millis(60);
/// The assumed duration of arming before the first measurement.
const ARMING_INITIAL: Duration = Duration::from_millis(60);
/// The factor by which the longest duration of arming decays from round to round.
const ARMING_DECAY: f64 = 0.85;

/// Decides how far ahead a group is held, from the duration of arming and the times at
/// which passes begin.
#[derive(Debug)]
pub(crate) struct Arming {
    /// When the group was held, while ranks are being armed.
    held: Option<Instant>,
    /// The longest recent duration of arming.
    longest: Duration,
    cadence: Cadence,
}

impl Default for Arming {
    fn default() -> Self {
        Self {
            held: None,
            longest: ARMING_INITIAL,
            cadence: Cadence::default(),
        }
    }
}

impl Arming {
    /// Records the last pass that began; returns the mean duration of the latest passes
    /// whenever enough of them have been seen.
    pub(crate) fn observe(&mut self, step: u64, now: Instant) -> Option<Duration> {
        self.cadence.observe(step, now)
    }

    /// Records that the group is held and ranks are to be armed.
    pub(crate) const fn begin(&mut self, now: Instant) {
        self.held = Some(now);
    }

    /// Records that all ranks are armed.
    pub(crate) fn end(&mut self, now: Instant) {
        let took = self.held.take();
        let took = took.map(|at| now.saturating_duration_since(at));
        let kept = self.longest.mul_f64(ARMING_DECAY);
        self.longest = took.unwrap_or_default().max(kept);
    }

    /// Records that the round has ended in another way.
    pub(crate) const fn abandon(&mut self) {
        self.held = None;
    }

    /// Returns the time within which the rank that has held the group must confirm that it
    /// is responsive.
    pub(crate) fn confirm_timeout(&self) -> Duration {
        self.longest.max(CONFIRM_TIMEOUT_MIN)
    }

    /// Returns how many passes ahead the group is held: as few as allow all ranks to be
    /// armed before the pass is due, which avoids a stall. A pause of 0.1 s makes most
    /// running streams late.
    pub(crate) fn passes_ahead(&self, now: Instant) -> u64 {
        let passes = self.cadence.passes_within(self.longest + HOLD_LATENCY, now);
        passes.map_or(PASSES_AHEAD, |passes| (passes + 1).min(PASSES_AHEAD_MAX))
    }
}
