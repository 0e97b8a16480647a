//! How long a group is held, and how far ahead.

use std::time::Duration;

use cactusnotch_base::clock::Instant;

use crate::cadence::Cadence;

/// How many passes ahead the group is held while it isn't known how long they
/// take: enough for the order to arrive before the pass begins.
const PASSES_AHEAD: u64 = 2;
/// The most passes ahead. Further ahead a round takes longer, and demand turns.
const PASSES_AHEAD_MAX: u64 = 8;
/// The time from a look at the own endpoint until a hold that follows from it is known
/// to be in force: a message to another host, its order, and a call on this one.
const HOLD_TIME: Duration = Duration::from_millis(15);
/// The least time that the rank that has held the group has to say that it is there; it
/// is as long as arming took lately if that is more. One that takes longer is out of
/// reach. The pass that is held is due after about as long, and a pause of 0.12 s would
/// make all running streams late.
const MEET_MIN: Duration = Duration::from_millis(60);
/// How long arming takes until it was measured.
const ARMING: Duration = Duration::from_millis(60);
/// What is kept of the longest time that arming took, from round to round.
const ARMING_KEPT: f64 = 0.85;

/// What decides how far ahead a group is held: how long arming takes, and when
/// passes begin.
#[derive(Debug)]
pub(crate) struct Arming {
    /// When the group was held, while ranks get armed.
    held: Option<Instant>,
    /// The longest time that it took lately.
    longest: Duration,
    cadence: Cadence,
}

impl Default for Arming {
    fn default() -> Self {
        Self {
            held: None,
            longest: ARMING,
            cadence: Cadence::default(),
        }
    }
}

impl Arming {
    /// Takes the last pass that was begun; returns how long the latest ones took
    /// whenever enough of them have been seen.
    pub(crate) fn look(&mut self, step: u64, now: Instant) -> Option<Duration> {
        self.cadence.look(step, now)
    }

    /// Notes that the group is held, and ranks are to be armed.
    pub(crate) const fn begin(&mut self, now: Instant) {
        self.held = Some(now);
    }

    /// Notes that all ranks are armed.
    pub(crate) fn end(&mut self, now: Instant) {
        let took = self.held.take();
        let took = took.map(|at| now.saturating_duration_since(at));
        let kept = self.longest.mul_f64(ARMING_KEPT);
        self.longest = took.unwrap_or_default().max(kept);
    }

    /// Notes that the round has ended in another way.
    pub(crate) const fn give_up(&mut self) {
        self.held = None;
    }

    /// Returns how long the rank that has held the group may take to say that it is there.
    pub(crate) fn meeting(&self) -> Duration {
        self.longest.max(MEET_MIN)
    }

    /// Returns how many passes ahead the group is held: as few as let all ranks
    /// be armed before the pass is due, so that the group doesn't stand still. A
    /// pause of 0.1 s makes most running streams late.
    pub(crate) fn passes_ahead(&self, now: Instant) -> u64 {
        let passes = self.cadence.passes_within(self.longest + HOLD_TIME, now);
        passes.map_or(PASSES_AHEAD, |passes| (passes + 1).min(PASSES_AHEAD_MAX))
    }
}
