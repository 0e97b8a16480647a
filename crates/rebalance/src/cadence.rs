//! How long the passes of a group take.

use std::time::Duration;

use cactusnotch_base::clock::Instant;

/// The part of a new measurement in the mean: a few passes back.
const NEW_PART: f64 = 0.3;
/// After this time without a pass the group counts as idle.
const IDLE: Duration = Duration::from_millis(600);
/// The least time over which passes are counted, so that the moment of a look
/// within a pass changes little.
const SPAN: Duration = Duration::from_millis(200);

/// What looks may be apart while the group works.
const LOOK_SPAN: Duration = Duration::from_millis(100);

/// A mean of the time that a pass takes, from counts of passes at looks.
#[derive(Debug, Default)]
pub struct Cadence {
    since: Option<(u64, Instant)>,
    mean: f64,
    /// The last pass that was seen begun, and the last look before it.
    begun: Option<(u64, Instant)>,
    /// When the last look was.
    looked: Option<Instant>,
}

impl Cadence {
    /// Takes the number of passes that were begun; returns how long the latest
    /// ones took whenever enough of them have been seen.
    pub fn look(&mut self, step: u64, now: Instant) -> Option<Duration> {
        let looked = self.looked.replace(now).unwrap_or(now);
        if self.begun.is_none_or(|(known, _)| known != step) {
            self.begun = Some((step, looked));
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
            if age > IDLE {
                self.since = Some((step, now));
                self.mean = 0.0;
            }
            return None;
        }
        if age < SPAN {
            return None;
        }
        let passes = u32::try_from(step - known).unwrap_or(u32::MAX);
        let latest = age.as_secs_f64() * 1_000.0 / f64::from(passes);
        self.mean = if self.mean > 0.0 {
            self.mean + NEW_PART * (latest - self.mean)
        } else {
            latest
        };
        self.since = Some((step, now));
        Some(age / passes)
    }

    /// Returns how many passes after the present one begin within `time` at
    /// the least, so that one more has surely not begun by then; `None` while
    /// there are no passes.
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

    /// Returns how long a pass takes while there is work, in milliseconds. It is
    /// no less than the time since the present one began: a group that stands
    /// still must not look idle.
    #[must_use]
    pub fn pass_with_work(&self, now: Instant) -> u16 {
        let since = self.begun.map_or(Duration::ZERO, |(_, begun)| {
            now.saturating_duration_since(begun)
        });
        // A look comes some time after the pass has begun.
        let standing = since.saturating_sub(LOOK_SPAN).as_millis();
        self.pass().max(u16::try_from(standing).unwrap_or(u16::MAX))
    }

    /// Returns how long a pass takes, in milliseconds; zero while there are
    /// none.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a pass takes far less than a minute"
    )]
    #[must_use]
    pub fn pass(&self) -> u16 {
        self.mean.clamp(0.0, f64::from(u16::MAX)).round() as u16
    }
}
