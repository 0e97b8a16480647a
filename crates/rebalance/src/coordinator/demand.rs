//! Estimates the demand for experts in a group, and plans rounds for it.

use std::time::Duration;

use cactusnotch_base::clock::Instant;

use crate::Shape;
use crate::estimate::Estimate;
use crate::map::Map;
use crate::plan::{self, Plan};
use crate::pressure::Pressure;

/// The number of expert choices required for a first plan; fewer are dominated
/// by noise.
const CHOICES_MIN: f64 = 2_000.0;
/// The fraction of the skew that a round must remove. No other round can begin
/// while one is under way: if demand shifts then, a small round keeps the group
/// unbalanced for its 0.3 to 0.5 s.
const ROUND_GAIN_MIN: f64 = 0.025;
/// The fraction by which the skew of a new plan's map must be lower for the
/// plan to replace a round that is still loading: loading takes 0.1 to 0.2 s,
/// all of which is lost.
const REPLACE_GAIN_MIN: f64 = 0.15;
/// The time for which a plan that was not worth a round is not computed again,
/// unless demand shifts. A plan costs the leader some milliseconds of a small
/// part of a core.
const REPLAN_INTERVAL: Duration = Duration::from_millis(100);

/// The experts' part of the work is given in thousandths.
const THOUSAND: f64 = 1_000.0;

/// Estimates the demand for experts in a group, and plans rounds for it.
#[derive(Debug)]
pub(crate) struct Demand {
    shape: Shape,
    options: plan::Options,
    estimate: Estimate,
    /// The estimate of the group's former epoch, until the first choices or plan.
    former: Option<Estimate>,
    pressure: Pressure,
    /// Whether the skews that shifts leave exclude slow ranks, as under overload control.
    excludes_slow_ranks: bool,
    /// The skew of the map in force as it was computed last, in thousandths; `None` until
    /// enough choices were counted.
    skew: Option<u32>,
    /// Whether demand has shifted since the last plan.
    shifted: bool,
    /// When the last plan was computed that was not worth a round.
    rejected_at: Option<Instant>,
}

impl Demand {
    pub(crate) fn new(shape: Shape, options: plan::Options) -> Self {
        Self {
            estimate: Estimate::new(shape.sets, shape.experts),
            pressure: Pressure::new(
                f64::from(shape.expert_part) / THOUSAND,
                options.max_event_gap,
            ),
            excludes_slow_ranks: false,
            former: None,
            shape,
            options,
            skew: None,
            shifted: false,
            rejected_at: None,
        }
    }

    /// Starts from the estimate of the group's former epoch, unless that is of another shape
    /// or of too few choices for a plan.
    pub(crate) fn resume(&mut self, former: Estimate) {
        let usable = former.has_shape_of(&self.estimate) && former.total() >= CHOICES_MIN;
        self.former = Some(former).filter(|_| usable);
    }

    pub(crate) const fn has_former(&self) -> bool {
        self.former.is_some()
    }

    /// Returns the estimate, for the next epoch of the group.
    pub(crate) fn into_estimate(self) -> Estimate {
        self.former.unwrap_or(self.estimate)
    }

    /// Ages the estimate of the former epoch and uses it. It weighs as much as a first plan
    /// requires, which is little against the choices of a second.
    fn use_former(&mut self, now: Instant) {
        let former = self.former.take();
        if let Some(former) = former.and_then(|former| former.resume(CHOICES_MIN, now)) {
            self.estimate = former;
        }
    }

    /// Returns the shape of the maps.
    pub(crate) const fn shape(&self) -> &Shape {
        &self.shape
    }

    /// Returns the skew of the map in force, 1 for even ranks, as it was computed last;
    /// `None` until enough choices were counted.
    pub(crate) fn skew(&self) -> Option<f64> {
        self.skew.map(|skew| f64::from(skew) / THOUSAND)
    }

    /// Returns the skew that demand shifts usually leave, `None` before the first.
    pub(crate) fn shift_skew(&self) -> Option<f64> {
        self.pressure.shift_skew()
    }

    /// Starts from the skew that demand shifts usually left in the group's former epoch.
    pub(crate) fn resume_shift_skew(&mut self, skew: Option<f64>) {
        self.pressure.set_shift_skew(skew);
    }

    /// Leaves ranks that are slow out of the skews that shifts leave, for the limit.
    pub(crate) const fn exclude_slow_ranks(&mut self) {
        self.excludes_slow_ranks = true;
    }

    /// Records the duration of a pass under `map`, and the utilisation of the group.
    pub(crate) fn measure(
        &mut self,
        pass: Duration,
        map: &Map,
        slowdowns: &[f64],
        utilisation: f64,
    ) {
        self.pressure.set_utilisation(utilisation);
        let choices = self.estimate.total();
        if choices <= 0.0 {
            return;
        }
        let skew = plan::skew_of(map, &self.estimate, slowdowns);
        self.pressure.measure(pass, skew);
        // The first choices show a far higher skew than there is.
        if self.skew.is_some() || choices >= CHOICES_MIN {
            self.skew = Some(skew);
        }
    }

    /// Adds the expert choices of a rank; returns whether they show a demand
    /// shift.
    pub(crate) fn add_counts(&mut self, units: &[f32], counts: &[u8], now: Instant) -> bool {
        self.use_former(now);
        let shifted = self.estimate.add(units, counts, now);
        self.shifted |= shifted;
        shifted
    }

    /// Returns a plan whose round is worthwhile under `map`, if there is one.
    pub(crate) fn plan(&mut self, map: &Map, slowdowns: &[f64], now: Instant) -> Option<Plan> {
        self.use_former(now);
        let recent = |at| now.saturating_duration_since(at) < REPLAN_INTERVAL;
        if !self.shifted && self.rejected_at.is_some_and(recent) {
            return None;
        }
        let plan = self.compute(map, slowdowns)?;
        if std::mem::take(&mut self.shifted) {
            self.record_shift(plan.before, map, slowdowns);
        }
        if plan.gain() >= ROUND_GAIN_MIN {
            return Some(plan);
        }
        self.rejected_at = Some(now);
        None
    }

    /// Returns the plan that replaces a round which is still loading `next`, if
    /// demand has shifted and another map would be far better.
    pub(crate) fn replacement(&mut self, map: &Map, next: &Map, slowdowns: &[f64]) -> Option<Plan> {
        if !std::mem::take(&mut self.shifted) {
            return None;
        }
        let skew = f64::from(plan::skew_of(next, &self.estimate, slowdowns));
        let plan = self.compute(map, slowdowns)?;
        self.record_shift(plan.before, map, slowdowns);
        (f64::from(plan.after) <= skew * (1.0 - REPLACE_GAIN_MIN)).then_some(plan)
    }

    /// Records the skew that a shift has left, `skew` with slow ranks. Under overload control
    /// it doesn't include ranks that are slow at the moment: after their recovery it would
    /// lower the limit until the next shifts.
    fn record_shift(&mut self, skew: u32, map: &Map, slowdowns: &[f64]) {
        let skew = if self.excludes_slow_ranks {
            let usual = vec![1.0; slowdowns.len()];
            plan::skew_of(map, &self.estimate, &usual)
        } else {
            skew
        };
        self.pressure.record_shift(skew);
    }

    fn compute(&mut self, map: &Map, slowdowns: &[f64]) -> Option<Plan> {
        if self.estimate.total() < CHOICES_MIN {
            return None;
        }
        let group = plan::Group {
            pressure: &self.pressure,
            slowdowns,
        };
        let plan = plan::plan(map, &self.estimate, &self.shape, &self.options, &group);
        self.skew = Some(plan.before);
        Some(plan)
    }
}
