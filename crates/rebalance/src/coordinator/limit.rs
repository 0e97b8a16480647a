//! Limits the group's running requests, and decides when the limit is announced.

use std::time::Duration;

use cactusnotch_base::clock::Instant;
use cactusnotch_overload::{Ceiling, Change, Conditions, Controller, Model};

use super::Coordinator;
use crate::former::Former;
use crate::message::Phase;

/// The least time between an announcement and another one for a changed limit.
const CHANGED_INTERVAL: Duration = Duration::from_millis(250);
/// The age of the last announcement at which it is repeated while the group has requests.
/// The leader evaluates this each 100 ms, so ranks get the limit each 0.5 s.
const REPEAT_INTERVAL: Duration = Duration::from_millis(400);

/// The limit of a group's running requests.
#[derive(Debug)]
pub(crate) struct Limit {
    controller: Controller,
    /// The number of requests that a rank runs at once.
    slots: f64,
    /// The limit that was announced last, and when.
    announced: Option<(Ceiling, Instant)>,
}

impl Limit {
    pub(crate) fn into_controller(self) -> Controller {
        self.controller
    }
}

impl Coordinator {
    /// Limits the group's running requests from now on, to at most `ceiling`, and starts from
    /// what a former epoch has left.
    pub fn limit_requests(&mut self, model: Model, ceiling: Ceiling) {
        self.demand.exclude_slow_ranks();
        let mut controller = Controller::new(model, ceiling);
        if let Some(Former {
            estimate, measured, ..
        }) = self.former.take()
        {
            self.demand.resume(estimate);
            controller.resume(measured.controller);
            self.demand.resume_shift_skew(measured.shift_skew);
        }
        self.limit = Some(Limit {
            controller,
            slots: f64::from(model.slots),
            announced: None,
        });
    }

    /// Records the mean duration of the latest passes.
    pub(super) fn measure_limit(&mut self, pass: Duration, now: Instant) {
        let known = self.running(now).zip(self.demand.skew());
        if let (Some(limit), Some((running, skew))) = (&mut self.limit, known) {
            let requests = running * limit.slots;
            limit.controller.measure(pass, requests, skew, now);
        }
    }

    /// Computes the limit that the round states; returns a record if it has changed by 5% or
    /// more since the last one.
    pub fn update_limit(&mut self, now: Instant) -> Option<Change> {
        let conditions = Conditions {
            skew: self.demand.skew(),
            shift_skew: self.demand.shift_skew(),
            fill: self.running(now).unwrap_or(0.0),
        };
        let limit = self.limit.as_mut()?;
        let change = limit.controller.update(&conditions, now);
        self.round.limit = limit.controller.limit();
        change
    }

    /// Returns whether the round has to be announced, because it has `changed` or because of
    /// its limit, and records the announcement.
    pub fn must_announce(&mut self, changed: bool, now: Instant) -> bool {
        let due = changed || self.is_limit_due(now);
        if let (Some(limit), Some(stated)) = (&mut self.limit, self.round.limit)
            && due
        {
            limit.announced = Some((stated, now));
        }
        due
    }

    /// Returns whether the limit has to be announced without a change of the round.
    ///
    /// Ranks answer a repeated round with their status. While ranks are armed this would
    /// delay the release of the group; while they load, each change of the phase announces
    /// the limit, and it is repeated only if loading takes long.
    fn is_limit_due(&self, now: Instant) -> bool {
        let (Some(limit), Some(stated)) = (&self.limit, self.round.limit) else {
            return false;
        };
        let Some((announced, at)) = limit.announced else {
            return self.round.phase == Phase::Rest;
        };
        let age = now.saturating_duration_since(at);
        let changed = age >= CHANGED_INTERVAL && stated.differs(announced);
        let has_requests = self.running(now).is_some_and(|fill| fill > 0.0);
        let repeated = age >= REPEAT_INTERVAL && has_requests;
        match self.round.phase {
            Phase::Rest => changed || repeated,
            Phase::Prepare | Phase::Commit => repeated,
            Phase::Meet { .. } | Phase::Arm { .. } => false,
        }
    }
}
