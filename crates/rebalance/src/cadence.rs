//! Measures the duration of a group's passes.

use std::time::Duration;

use cactusnotch_base::clock::Instant;

/// The weight of a new measurement in the moving mean, which thus covers a few
/// passes.
const NEW_WEIGHT: f64 = 0.3;
/// The time without a pass after which the group counts as idle.
const IDLE_AFTER: Duration = Duration::from_millis(600);
/// The least time over which passes are counted, which limits the error from
/// sampling within a pass.
const SPAN_MIN: Duration = Duration::from_millis(200);

/// The greatest interval between two observations while the group works.
const OBSERVE_SPAN: Duration = Duration::from_millis(100);

/// A moving mean of the duration of a pass, from samples of the pass number.
#[derive(Debug, Default)]
pub struct Cadence {
    since: Option<(u64, Instant)>,
    mean: f64,
    /// The last pass that was seen to begin, and the time of the last
    /// observation before it.
    begun: Option<(u64, Instant)>,
    /// The time of the last observation.
    observed_at: Option<Instant>,
}

impl Cadence {
    /// Records the number of passes that have begun; returns the mean duration
    /// of the latest ones whenever enough of them have been seen.
    pub fn observe(&mut self, step: u64, now: Instant) -> Option<Duration> {
        let observed_at = self.observed_at.replace(now).unwrap_or(now);
        if self.begun.is_none_or(|(known, _)| known != step) {
            self.begun = Some((step, observed_at));
        }
        self.count(step, now)
    }

    /// Counts the passes since the last measurement.
    fn count(&mut self, step: u64, now: Instant) -> Option<Duration> {
        let Some((known, at)) = self.since.filter(|(known, _)| *known <= step) else {
            self.since = Some((step, now));
            self.mean = 0.0;
            return None;
        };
        let age = now.saturating_duration_since(at);
        if step == known {
            if age > IDLE_AFTER {
                self.since = Some((step, now));
                self.mean = 0.0;
            }
            return None;
        }
        if age < SPAN_MIN {
            return None;
        }
        let passes = u32::try_from(step - known).unwrap_or(u32::MAX);
        let latest = age.as_secs_f64() * 1_000.0 / f64::from(passes);
        self.mean = if self.mean > 0.0 {
            self.mean + NEW_WEIGHT * (latest - self.mean)
        } else {
            latest
        };
        self.since = Some((step, now));
        Some(age / passes)
    }

    /// Returns the least number of passes after the present one that begin
    /// within `time`: one further pass has certainly not begun by then. Returns
    /// `None` while there are no passes.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a small number of passes"
    )]
    pub fn passes_within(&self, time: Duration, now: Instant) -> Option<u64> {
        let (_, begun) = self.begun?;
        let pass = Duration::try_from_secs_f64(self.mean / 1_000.0).ok()?;
        if pass.is_zero() {
            return None;
        }
        let elapsed = now.saturating_duration_since(begun).min(pass);
        Some((elapsed + time).div_duration_f64(pass).floor() as u64)
    }

    /// Returns the duration of a pass while there is work, in milliseconds. It
    /// is at least the time since the present pass began: a stalled group must
    /// not appear idle.
    #[must_use]
    pub fn pass_ms_under_load(&self, now: Instant) -> u16 {
        let since = self.begun.map_or(Duration::ZERO, |(_, begun)| {
            now.saturating_duration_since(begun)
        });
        // The observation follows the begin of a pass with a delay.
        let stalled = since.saturating_sub(OBSERVE_SPAN).as_millis();
        self.pass_ms()
            .max(u16::try_from(stalled).unwrap_or(u16::MAX))
    }

    /// Returns the duration of a pass, in milliseconds; zero while there are
    /// none.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a pass takes far less than a minute"
    )]
    #[must_use]
    pub fn pass_ms(&self) -> u16 {
        self.mean.clamp(0.0, f64::from(u16::MAX)).round() as u16
    }
}
