//! What is popular in a group, and the plans that follow from it.

use std::time::Duration;

use cactusnotch_base::clock::Instant;

use crate::Shape;
use crate::estimate::Estimate;
use crate::map::Map;
use crate::plan::{self, Plan};
use crate::pressure::Pressure;

/// The choices that must be known before a first plan; below it the counts
/// are noise.
const CHOICES_MIN: f64 = 2_000.0;
/// What a round has to take off the skew, as a part of it. While a round is
/// under way no other can begin, so that a small one keeps the group uneven for
/// its 0.3 to 0.5 s if demand turns then.
const ROUND_GAIN: f64 = 0.025;
/// A round that still loads is replaced if the map of a new plan would have a
/// skew that is lower by this part: loading takes 0.1 to 0.2 s, and all of it
/// is lost.
const REPLACE_GAIN: f64 = 0.15;
/// How long a plan that was not worth a round is not made again, unless demand
/// turns. A plan costs the leader some milliseconds of a small part of a core.
const PLAN_EVERY: Duration = Duration::from_millis(100);

/// The experts' part of the work is told in thousandths.
const THOUSAND: f64 = 1_000.0;

/// What is popular in a group, and the plans that follow from it.
#[derive(Debug)]
pub(crate) struct Demand {
    shape: Shape,
    options: plan::Options,
    estimate: Estimate,
    pressure: Pressure,
    /// Whether it has turned since the last plan.
    turned: bool,
    /// When a plan was last made that was not worth a round.
    planned: Option<Instant>,
}

impl Demand {
    pub(crate) fn new(shape: Shape, options: plan::Options) -> Self {
        Self {
            estimate: Estimate::new(shape.sets, shape.experts),
            pressure: Pressure::new(f64::from(shape.expert_part) / THOUSAND, options.pause),
            shape,
            options,
            turned: false,
            planned: None,
        }
    }

    /// Returns the shape of the maps.
    pub(crate) const fn shape(&self) -> &Shape {
        &self.shape
    }

    /// Takes how long passes take under `map`, and how full the group is.
    pub(crate) fn measure(&mut self, pass: Duration, map: &Map, paces: &[f64], fill: f64) {
        self.pressure.set_fill(fill);
        let skew = plan::skew_of(map, &self.estimate, paces);
        if self.estimate.heard() > 0.0 {
            self.pressure.measure(pass, skew);
        }
    }

    /// Adds what a rank's requests chose; returns whether demand has turned.
    pub(crate) fn count(&mut self, units: &[f32], counts: &[u8], now: Instant) -> bool {
        let turned = self.estimate.add(units, counts, now);
        self.turned |= turned;
        turned
    }

    /// Returns the plan of a round that is worth to begin under `map`.
    pub(crate) fn plan(&mut self, map: &Map, paces: &[f64], now: Instant) -> Option<Plan> {
        let lately = |at| now.saturating_duration_since(at) < PLAN_EVERY;
        if !self.turned && self.planned.is_some_and(lately) {
            return None;
        }
        let plan = self.any_plan(map, paces)?;
        if std::mem::take(&mut self.turned) {
            self.pressure.turn(plan.before);
        }
        if plan.gain() >= ROUND_GAIN {
            return Some(plan);
        }
        self.planned = Some(now);
        None
    }

    /// Returns the plan that replaces a round which still loads `next`, if
    /// demand has turned so that another map would be far better.
    pub(crate) fn replacement(&mut self, map: &Map, next: &Map, paces: &[f64]) -> Option<Plan> {
        if !std::mem::take(&mut self.turned) {
            return None;
        }
        let skew = f64::from(plan::skew_of(next, &self.estimate, paces));
        let plan = self.any_plan(map, paces)?;
        self.pressure.turn(plan.before);
        (f64::from(plan.after) <= skew * (1.0 - REPLACE_GAIN)).then_some(plan)
    }

    fn any_plan(&self, map: &Map, paces: &[f64]) -> Option<Plan> {
        let known = self.estimate.heard() >= CHOICES_MIN;
        let group = plan::Group {
            pressure: &self.pressure,
            paces,
        };
        known.then(|| plan::plan(map, &self.estimate, &self.shape, &self.options, &group))
    }
}
