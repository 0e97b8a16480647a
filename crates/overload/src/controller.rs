//! Limits the running requests of a group.

use std::time::Duration;

use cactusnotch_base::clock::Instant;

use crate::model::FILL_MIN;
use crate::overhead::Overhead;
use crate::{Ceiling, Change, Conditions, Model};

/// The greatest rise of the limit in a second, as a fraction of the slots. A round of the
/// map planner takes 0.3 to 0.5 s and acts on the same passes; at this rate the limit
/// changes little within one.
const RISE_PER_SECOND: f64 = 0.2;
/// The least mean number of requests for each rank whose passes are measured: the pass of a
/// nearly idle group depends on single prompts.
const REQUESTS_MIN: f64 = 1.0;
/// The longest interval for which the limit rises at once: a leader that was frozen has not
/// observed the time since.
const RISE_INTERVAL_MAX: Duration = Duration::from_millis(500);

/// A measured pass.
#[derive(Debug, Clone, Copy)]
struct Measured {
    pass: Duration,
    requests: f64,
    skew: f64,
    at: Instant,
}

/// Limits the running requests of a group to the number at which its streams stay on time,
/// even if demand shifts.
#[derive(Debug)]
pub struct Controller {
    model: Model,
    /// The upper bound that the operators set.
    ceiling: Ceiling,
    overhead: Overhead,
    last: Option<Measured>,
    /// The limit as a fraction of the slots, and when it was computed.
    level: Option<(f64, Instant)>,
    /// The limit in the latest change record.
    recorded: Option<Ceiling>,
}

impl Controller {
    /// Creates the controller of a group that has not made a pass. `ceiling` is the
    /// operators' upper bound of the limit; zero, which would close the group without an
    /// error, counts as the lowest limit of the model.
    #[must_use]
    pub fn new(model: Model, ceiling: Ceiling) -> Self {
        let closed = ceiling.per_slot() <= 0.0;
        Self {
            model,
            ceiling: if closed {
                Ceiling::new(FILL_MIN)
            } else {
                ceiling.sanitized()
            },
            overhead: Overhead::default(),
            last: None,
            level: None,
            recorded: None,
        }
    }

    /// Keeps the overhead that the controller of the group's former epoch has measured, if
    /// that had the same model: it belongs to the engine and the demand.
    pub fn resume(&mut self, former: Self) {
        if former.model == self.model {
            self.overhead = former.overhead;
        }
    }

    /// Returns the current limit, `None` before the first update.
    #[must_use]
    pub fn limit(&self) -> Option<Ceiling> {
        self.level.map(|(level, _)| Ceiling::new(level))
    }

    /// Records the mean duration of the latest passes, at whose end the ranks ran a mean of
    /// `requests` and the map had this skew.
    ///
    /// The passes began with the requests and the skew of the measurement before. The
    /// larger values apply, so that a rise of the load or the switch of a map while the
    /// passes were made doesn't appear as overhead.
    pub fn measure(&mut self, pass: Duration, requests: f64, skew: f64, now: Instant) {
        let measured = Measured {
            pass,
            requests,
            skew,
            at: now,
        };
        let before = self.last.replace(measured).unwrap_or(measured);
        let most = requests.max(before.requests);
        // Only a pass that begins and ends with enough requests is measured.
        if requests.min(before.requests) >= REQUESTS_MIN {
            let overhead = self.model.overhead(pass, most, skew.max(before.skew));
            self.overhead
                .record(overhead, self.model.overhead_max(), now);
        }
    }

    /// Computes the limit; returns a record if it has changed by 5% or more since the last
    /// one. It falls at once and rises slowly.
    pub fn update(&mut self, conditions: &Conditions, now: Instant) -> Option<Change> {
        self.overhead.decay(now);
        let (skew, overhead) = (conditions.worst_skew(), self.overhead.seconds());
        let modelled = self.model.ceiling(skew, overhead);
        let target = modelled.min(self.ceiling).per_slot();
        let level = self.level.map_or(target, |(level, at)| {
            let interval = now.saturating_duration_since(at).min(RISE_INTERVAL_MAX);
            target.min(level + RISE_PER_SECOND * interval.as_secs_f64())
        });
        self.level = Some((level, now));
        let limit = Ceiling::new(level);
        if self.recorded.is_some_and(|before| !limit.differs(before)) {
            return None;
        }
        self.recorded = Some(limit);
        let age = |last: Measured| (last.pass, now.saturating_duration_since(last.at));
        Some(Change {
            limit,
            skew,
            overhead,
            pass: self.last.map(age),
            fill: conditions.fill,
        })
    }
}
