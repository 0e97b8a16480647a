//! The limit of a group's running requests under named loads, without a network.
//!
//! The engine is that of the baseline measurements: with 0.7 of the slots in use a pass
//! takes 87 ms, and 140 ms right after a shift of demand, where callers accept 150 ms.

use std::time::Duration;

use cactusnotch_base::clock::{self, Instant};
use cactusnotch_overload::model::{MAP_0_SKEW, SHIFT_SKEW};
use cactusnotch_overload::{Ceiling, Change, Conditions, Controller, Model};

const GAP: Duration = Duration::from_millis(150);
const MODEL: Model = Model {
    slots: 12,
    step: Duration::from_millis(5),
    per_request: Duration::from_micros(1_704),
    stride: 4,
    expert_share: 0.85,
    max_event_gap: GAP,
};
/// An engine whose requests take a quarter of that time.
const LIGHT: Model = Model {
    per_request: Duration::from_micros(426),
    ..MODEL
};
/// A tenth of the passes take longer than the mean by this factor.
const LONG_PASS: f64 = 1.25;
const TICK: Duration = Duration::from_millis(100);
/// The ticks of a measurement of passes, after which a shift is detected, after which the
/// new map is in force, and the ticks of a second.
const MEASUREMENT: u32 = 2;
const DETECTED: u32 = 3;
const ADAPTED: u32 = 5;
const SECOND: u32 = 10;
/// The fraction of the running streams that end in a tick.
const ENDING: f64 = 0.065;
/// The skew of an adapted map.
const EVEN: f64 = 1.2;

/// A group under load whose requests follow the limit as running streams end.
struct Group {
    model: Model,
    controller: Controller,
    now: Instant,
    tick: u32,
    /// The wanted requests for each slot.
    demand: f64,
    /// By which factor each request takes longer than the model states, and its rise with
    /// the fill.
    factor: f64,
    convexity: f64,
    /// By which factor a slow rank lengthens each pass.
    slowdown: f64,
    /// The part of each pass that doesn't depend on the requests.
    constant: Duration,
    skew: f64,
    /// The conditions as the leader knows them.
    known: Conditions,
    shifted_at: Option<u32>,
    measured: Duration,
    changes: Vec<Change>,
}

impl Group {
    fn new(demand: f64) -> Self {
        Self::with_model(demand, MODEL)
    }

    fn with_model(demand: f64, model: Model) -> Self {
        Self {
            model,
            controller: Controller::new(model, Ceiling::FULL),
            now: clock::now(),
            tick: 0,
            demand,
            factor: 1.0,
            convexity: 0.0,
            slowdown: 1.0,
            constant: Duration::ZERO,
            skew: EVEN,
            known: Conditions {
                skew: Some(EVEN),
                shift_skew: None,
                fill: 0.0,
            },
            shifted_at: None,
            measured: Duration::ZERO,
            changes: Vec::new(),
        }
    }

    fn requests(&self) -> f64 {
        self.known.fill * f64::from(self.model.slots)
    }

    fn pass(&self) -> Duration {
        let factor = self.factor + self.convexity * self.known.fill;
        let pass = self.model.pass(self.requests() * factor, self.skew);
        (pass + self.constant).mul_f64(self.slowdown)
    }

    fn limit(&self) -> f64 {
        self.controller.limit().map_or(1.0, Ceiling::per_slot)
    }

    fn set_skew(&mut self, skew: f64) {
        (self.skew, self.known.skew) = (skew, Some(skew));
    }

    /// Runs from a shift until the next; returns the duration of long passes.
    fn shift(&mut self, skew: f64) -> Duration {
        (self.skew, self.shifted_at) = (skew, Some(self.tick));
        self.run(35)
    }

    /// Returns the duration of long passes meanwhile.
    fn run(&mut self, ticks: u32) -> Duration {
        let passes = (0..ticks).map(|_| {
            self.advance();
            self.pass().mul_f64(LONG_PASS)
        });
        passes.max().unwrap_or_default()
    }

    fn advance(&mut self) {
        self.now += TICK;
        self.tick += 1;
        match self.shifted_at.map(|at| self.tick - at) {
            Some(DETECTED) => {
                self.known.skew = Some(self.skew);
                let mean = self.known.shift_skew.unwrap_or(self.skew);
                self.known.shift_skew = Some(mean + 0.3 * (self.skew - mean));
            }
            Some(ADAPTED) => (self.skew, self.shifted_at) = (EVEN, None),
            _ => {}
        }
        self.measured += self.pass() / MEASUREMENT;
        if self.tick.is_multiple_of(MEASUREMENT) {
            if self.shifted_at.is_none() {
                self.known.skew = Some(self.skew);
            }
            let (pass, requests) = (std::mem::take(&mut self.measured), self.requests());
            if let Some(skew) = self.known.skew {
                self.controller.measure(pass, requests, skew, self.now);
            }
        }
        let change = self.controller.update(&self.known, self.now);
        self.changes.extend(change);
        let wanted = self.demand.min(self.limit());
        self.known.fill = wanted.max(self.known.fill * (1.0 - ENDING));
    }

    /// Returns how often the limit has changed its direction, by 5% or more each time.
    fn turns(&self) -> usize {
        let limits: Vec<_> = self.changes.iter().map(|change| change.limit).collect();
        let rises: Vec<_> = limits.windows(2).map(|pair| pair[1] > pair[0]).collect();
        rises.windows(2).filter(|pair| pair[0] != pair[1]).count()
    }
}

#[test]
fn streams_stay_within_the_gap_as_demand_shifts() {
    for demand in [0.5, 0.7, 0.9] {
        let mut group = Group::new(demand);
        group.run(5 * SECOND);
        let longest = (0..4).map(|_| group.shift(2.4)).max();
        assert!(longest <= Some(GAP), "{longest:?} at {demand}");
        assert!(group.known.fill > 0.49, "{demand}: {}", group.known.fill);
        // The limit allows for the mean, which half of the shifts exceed.
        let skews = [2.4, 2.2].into_iter().cycle().take(8);
        let longest = skews.map(|skew| group.shift(skew)).max();
        assert!(longest <= Some(GAP.mul_f64(1.05)), "{longest:?}");
    }
}

#[test]
fn a_rank_that_becomes_slow_lowers_the_limit_within_a_second() {
    let mut group = Group::new(0.7);
    group.run(5 * SECOND);
    let before = group.limit();
    group.factor = 2.5;
    group.run(SECOND);
    assert!(group.limit() < 0.65 * before, "{}", group.limit());
    group.run(5 * SECOND);
    assert!(group.run(1) <= GAP, "{:?}", group.pass());
    group.factor = 1.0;
    group.run(10 * SECOND);
    assert!(group.limit() > 0.95 * before, "{}", group.limit());
    assert!(group.turns() <= 1, "{}", group.turns());
    // A rank that reports to be slow shows in the skew.
    group.set_skew(12.0);
    group.advance();
    assert!(group.limit() <= 0.25, "{}", group.limit());
}

#[test]
fn passes_that_take_a_multiple_lower_the_limit_to_its_minimum_and_short_ones_do_not_raise_it() {
    let usual = MODEL.ceiling(SHIFT_SKEW, 0.0).per_slot();
    for (slowdown, limit) in [(0.5, usual), (2.5, 0.25), (50.0, 0.25)] {
        let mut group = Group::new(0.7);
        group.slowdown = slowdown;
        group.run(10 * SECOND);
        assert!((group.limit() - limit).abs() < 0.001, "{}", group.limit());
        group.slowdown = 1.0;
        group.run(10 * SECOND);
        assert!(group.limit() > 0.95 * usual, "{}", group.limit());
    }
}

#[test]
fn a_new_group_takes_on_load_as_its_map_improves() {
    let mut group = Group::new(0.9);
    group.known.skew = None;
    group.advance();
    assert!(group.controller.limit() == Some(MODEL.ceiling(MAP_0_SKEW, 0.0)));
    group.set_skew(4.0);
    group.advance();
    let first = group.limit();
    assert!(group.controller.limit() == Some(MODEL.ceiling(4.0, 0.0)));
    group.set_skew(EVEN);
    group.run(SECOND / 2);
    assert!(group.limit() <= first + 0.11, "{}", group.limit());
    group.run(2 * SECOND);
    assert!(group.controller.limit() == Some(MODEL.ceiling(SHIFT_SKEW, 0.0)));
}

#[test]
fn a_calm_group_is_not_limited() {
    let mut group = Group::with_model(0.9, LIGHT);
    for tick in 0..60 * SECOND {
        group.demand = 0.5 + 0.05 * f64::from(tick % 7);
        group.advance();
        assert_eq!(group.controller.limit(), Some(Ceiling::FULL));
    }
    assert_eq!(group.changes.len(), 1);
}

#[test]
fn alternating_shifts_do_not_make_the_limit_oscillate() {
    let mut group = Group::new(0.9);
    group.run(5 * SECOND);
    for shift in 0..16 {
        group.shift([2.0, 3.0][shift % 2]);
    }
    // A fall at a shift that leaves more than usual, and the rise after it.
    assert!(group.turns() <= 16, "{:?}", group.changes);
    let lowest = group.changes.iter().map(|change| change.limit).min();
    assert!(lowest > Some(Ceiling::new(0.35)), "{lowest:?}");
}

#[test]
fn requests_that_take_longer_as_the_fill_rises_settle() {
    for convexity in [0.5, 1.0, 2.0] {
        let mut group = Group::new(0.9);
        group.convexity = convexity;
        group.run(60 * SECOND);
        assert!(group.turns() <= 2, "{:?}", group.changes);
        assert!(group.run(10 * SECOND) <= GAP, "{:?}", group.pass());
    }
}

#[test]
fn a_constant_part_of_passes_limits_a_group_at_a_low_fill_as_a_full_one() {
    let model = Model {
        step: Duration::from_micros(4_550),
        per_request: Duration::from_micros(1_090),
        stride: 5,
        ..MODEL
    };
    let limit = |demand| {
        let mut group = Group::with_model(demand, model);
        group.constant = Duration::from_millis(11);
        group.run(20 * SECOND);
        group.limit()
    };
    let full = limit(0.9);
    for demand in [0.23, 0.3, 0.4] {
        let low = limit(demand);
        assert!((low / full - 1.0).abs() < 0.1, "{demand}: {low} of {full}");
    }
}

#[test]
fn passes_of_prompts_alone_do_not_lower_the_limit() {
    let mut group = Group::new(0.7);
    group.run(5 * SECOND);
    let before = group.limit();
    for _ in 0..5 {
        // One measurement of several times the usual pass, each second.
        group.measured = GAP * 4;
        group.run(SECOND);
        assert!(group.limit() > 0.95 * before, "{}", group.limit());
    }
}

#[test]
fn bursts_of_prompts_do_not_make_the_limit_oscillate() {
    let mut group = Group::new(0.7);
    for burst in 0..60 {
        group.factor = [2.0, 1.0][burst % 2];
        group.run(2 * MEASUREMENT);
    }
    assert!(group.turns() <= 2, "{:?}", group.changes);
}

#[test]
fn neither_an_end_of_load_nor_a_nearly_idle_group_lowers_the_limit() {
    let mut group = Group::new(0.5);
    group.run(5 * SECOND);
    let before = group.limit();
    group.demand = 0.08;
    for tick in 0..8 * SECOND {
        group.factor = if tick < 4 * SECOND { 1.0 } else { 50.0 };
        group.advance();
        assert!(group.limit() > 0.99 * before, "{tick}: {}", group.limit());
    }
}

#[test]
fn a_group_without_measurements_returns_to_the_model() {
    let mut group = Group::new(0.7);
    group.factor = 4.0;
    group.run(10 * SECOND);
    assert!(group.limit() <= 0.25, "{}", group.limit());
    group.demand = 0.0;
    group.run(60 * SECOND);
    let model = MODEL.ceiling(SHIFT_SKEW, 0.0).per_slot();
    assert!(group.limit() > 0.95 * model, "{}", group.limit());
}

#[test]
fn the_overhead_of_another_engine_is_dropped_when_a_group_forms_again() {
    for (model, is_kept) in [(MODEL, true), (LIGHT, false)] {
        let mut group = Group::new(0.7);
        group.factor = 4.0;
        group.run(10 * SECOND);
        let mut next = Controller::new(model, Ceiling::FULL);
        next.resume(group.controller);
        next.update(&group.known, group.now);
        let without = Some(model.ceiling(SHIFT_SKEW, 0.0));
        assert_eq!(next.limit() < without, is_kept);
    }
}

#[test]
fn a_leader_that_was_frozen_does_not_raise_the_limit_at_once() {
    let mut group = Group::new(0.0);
    group.set_skew(12.0);
    group.advance();
    group.set_skew(EVEN);
    group.now += Duration::from_mins(1);
    group.advance();
    assert!(group.limit() <= 0.36, "{}", group.limit());
}

#[test]
fn nonsense_never_closes_the_group() {
    let mut models = [MODEL; 6];
    models[1].slots = 0;
    models[2].stride = 0;
    models[3].max_event_gap = Duration::ZERO;
    models[4].per_request = Duration::MAX;
    models[5].expert_share = f64::NAN;
    let numbers = [f64::NAN, f64::INFINITY, -1.0, 0.0, 1.0, f64::MAX];
    for (model, number) in models.iter().flat_map(|m| numbers.map(|n| (*m, n))) {
        let mut controller = Controller::new(model, Ceiling::new(0.0));
        let conditions = Conditions {
            skew: Some(number),
            shift_skew: Some(number),
            fill: number,
        };
        for pass in [Duration::ZERO, Duration::MAX, Duration::MAX] {
            let now = clock::now();
            controller.measure(pass, number, number, now);
            controller.update(&conditions, now);
            let limit = controller.limit().map_or(0.0, Ceiling::per_slot);
            assert!((0.25..=1.0).contains(&limit), "{limit} {model:?} {number}");
        }
    }
}

#[test]
fn the_operators_ceiling_bounds_the_limit() {
    let mut group = Group::new(0.5);
    group.controller = Controller::new(MODEL, Ceiling::new(0.2));
    group.advance();
    assert_eq!(group.controller.limit(), Some(Ceiling::new(0.2)));
}

#[test]
fn changes_of_five_percent_count() {
    let limit = Ceiling::new(0.6);
    assert!(!Ceiling::new(0.571).differs(limit) && !Ceiling::new(0.629).differs(limit));
    assert!(Ceiling::new(0.57).has_fallen(limit));
    assert!(Ceiling::new(0.63).differs(limit) && !Ceiling::new(0.63).has_fallen(limit));
    assert!(Ceiling::new(0.001).differs(Ceiling::new(0.0)));
}
