//! The limit of a group's running requests under named loads, without a network.
//!
//! The engine is that of the baseline measurements: with 0.7 of the slots in use a pass
//! takes 87 ms, and 140 ms right after a shift of demand, where callers accept 150 ms.

use std::time::Duration;

use cactusnotch_base::clock::{self, Instant};
use cactusnotch_overload::model::SHIFT_SKEW;
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
const ADAPTED_SKEW: f64 = 1.2;

/// A group under load whose requests follow the limit as running streams end.
struct Group {
    controller: Controller,
    now: Instant,
    tick: u32,
    /// The wanted and the running requests for each slot.
    demand: f64,
    fill: f64,
    /// By which factor requests cost more than the model states, and the rise of that factor
    /// with the fill.
    cost: f64,
    convexity: f64,
    skew: f64,
    known_skew: f64,
    shift_skew: Option<f64>,
    shifted_at: Option<u32>,
    measured: Duration,
    changes: Vec<Change>,
}

impl Group {
    fn new(demand: f64) -> Self {
        Self {
            controller: Controller::new(MODEL, Ceiling::FULL),
            now: clock::now(),
            tick: 0,
            demand,
            fill: 0.0,
            cost: 1.0,
            convexity: 0.0,
            skew: ADAPTED_SKEW,
            known_skew: ADAPTED_SKEW,
            shift_skew: None,
            shifted_at: None,
            measured: Duration::ZERO,
            changes: Vec::new(),
        }
    }

    fn requests(&self) -> f64 {
        self.fill * f64::from(MODEL.slots)
    }

    fn pass(&self) -> Duration {
        let cost = self.cost + self.convexity * self.fill;
        MODEL.pass(self.requests(), self.skew, cost)
    }

    fn limit(&self) -> f64 {
        self.controller.limit().map_or(1.0, Ceiling::per_slot)
    }

    fn shift(&mut self, skew: f64) {
        (self.skew, self.shifted_at) = (skew, Some(self.tick));
    }

    fn run(&mut self, ticks: u32) -> Duration {
        let mut longest = Duration::ZERO;
        for _ in 0..ticks {
            self.advance();
            longest = longest.max(self.pass());
        }
        longest
    }

    fn advance(&mut self) {
        self.now += TICK;
        self.tick += 1;
        match self.shifted_at.map(|at| self.tick - at) {
            Some(DETECTED) => {
                self.known_skew = self.skew;
                let mean = self.shift_skew.unwrap_or(self.skew);
                self.shift_skew = Some(mean + 0.3 * (self.skew - mean));
            }
            Some(ADAPTED) => (self.skew, self.shifted_at) = (ADAPTED_SKEW, None),
            _ => {}
        }
        self.measured += self.pass() / MEASUREMENT;
        if self.tick.is_multiple_of(MEASUREMENT) {
            if self.shifted_at.is_none() {
                self.known_skew = self.skew;
            }
            let (pass, requests) = (std::mem::take(&mut self.measured), self.requests());
            self.controller
                .measure(pass, requests, self.known_skew, self.now);
        }
        let conditions = Conditions {
            skew: self.known_skew,
            shift_skew: self.shift_skew,
            fill: self.fill,
        };
        self.changes
            .extend(self.controller.update(&conditions, self.now));
        let wanted = self.demand.min(self.limit());
        self.fill = wanted.max(self.fill * (1.0 - ENDING));
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
        for _ in 0..4 {
            group.shift(2.4);
            let longest = group.run(35).mul_f64(LONG_PASS);
            assert!(longest <= GAP, "{longest:?} at {demand}");
        }
        assert!(
            group.fill > demand.min(0.5) - 0.01,
            "{demand}: {}",
            group.fill
        );
    }
}

/// The limit allows for the mean of former shifts; half of the shifts leave more than that.
#[test]
fn a_shift_that_leaves_more_than_usual_exceeds_the_gap_a_little() {
    let mut group = Group::new(0.9);
    group.run(5 * SECOND);
    for shift in 0..8 {
        group.shift([2.4, 2.2][shift % 2]);
        let longest = group.run(35).mul_f64(LONG_PASS);
        assert!(longest <= GAP.mul_f64(1.05), "{longest:?}");
    }
}

#[test]
fn a_rank_that_becomes_slow_lowers_the_limit_within_a_second() {
    let mut group = Group::new(0.7);
    group.run(5 * SECOND);
    let before = group.limit();
    group.cost = 2.5;
    group.run(SECOND);
    assert!(group.limit() < 0.65 * before, "{}", group.limit());
    group.run(5 * SECOND);
    assert!(group.pass().mul_f64(LONG_PASS) <= GAP, "{:?}", group.pass());
    group.cost = 1.0;
    group.run(10 * SECOND);
    assert!(group.limit() > 0.95 * before, "{}", group.limit());
    assert!(group.turns() <= 1, "{}", group.turns());
}

#[test]
fn a_rank_that_reports_to_be_slow_lowers_the_limit_at_once() {
    let mut group = Group::new(0.7);
    group.run(SECOND);
    (group.skew, group.known_skew) = (12.0, 12.0);
    group.advance();
    assert!(group.limit() <= 0.25, "{}", group.limit());
}

#[test]
fn a_new_group_takes_on_load_as_its_map_improves() {
    let mut group = Group::new(0.9);
    (group.skew, group.known_skew) = (4.0, 4.0);
    group.advance();
    let first = group.limit();
    assert!(group.controller.limit() == Some(MODEL.ceiling(4.0, 1.0)));
    (group.skew, group.known_skew) = (1.2, 1.2);
    group.run(SECOND / 2);
    assert!(group.limit() <= first + 0.11, "{}", group.limit());
    group.run(2 * SECOND);
    assert!(group.controller.limit() == Some(MODEL.ceiling(SHIFT_SKEW, 1.0)));
}

#[test]
fn a_calm_group_is_not_limited() {
    let light = Model {
        per_request: MODEL.per_request / 4,
        ..MODEL
    };
    let mut controller = Controller::new(light, Ceiling::FULL);
    let mut now = clock::now();
    for tick in 0..600_u32 {
        now += TICK;
        let fill = 0.3 + 0.02 * f64::from(tick % 7);
        let requests = fill * f64::from(light.slots);
        let pass = light.pass(requests, ADAPTED_SKEW, 1.0);
        controller.measure(pass, requests, ADAPTED_SKEW, now);
        let conditions = Conditions {
            skew: ADAPTED_SKEW,
            shift_skew: None,
            fill,
        };
        let change = controller.update(&conditions, now);
        assert_eq!(change.is_some(), tick == 0, "{change:?}");
        assert_eq!(controller.limit(), Some(Ceiling::FULL));
    }
}

#[test]
fn alternating_shifts_do_not_make_the_limit_oscillate() {
    let mut group = Group::new(0.9);
    group.run(5 * SECOND);
    for shift in 0..16 {
        group.shift([2.0, 3.0][shift % 2]);
        group.run(35);
    }
    // A fall at a shift that leaves more than usual, and the rise after it.
    assert!(
        group.turns() <= 16,
        "{}: {:?}",
        group.turns(),
        group.changes
    );
    let lowest = group.changes.iter().map(|change| change.limit).min();
    assert!(lowest > Some(Ceiling::new(0.35)), "{lowest:?}");
}

#[test]
fn a_cost_that_rises_with_the_fill_settles() {
    for convexity in [0.5, 1.0, 2.0] {
        let mut group = Group::new(0.9);
        group.convexity = convexity;
        group.run(60 * SECOND);
        assert!(group.turns() <= 2, "{}: {:?}", group.turns(), group.changes);
        let longest = group.run(10 * SECOND);
        assert!(longest.mul_f64(LONG_PASS) <= GAP, "{longest:?}");
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
        group.cost = [2.0, 1.0][burst % 2];
        group.run(2 * MEASUREMENT);
    }
    assert!(group.turns() <= 2, "{}: {:?}", group.turns(), group.changes);
}

#[test]
fn streams_that_end_together_do_not_lower_the_limit() {
    let mut group = Group::new(0.5);
    group.run(5 * SECOND);
    let before = group.limit();
    group.demand = 0.1;
    for _ in 0..2 * SECOND {
        group.advance();
        assert!(group.limit() > 0.99 * before, "{}", group.limit());
    }
}

#[test]
fn a_nearly_idle_group_does_not_learn_from_noise() {
    let mut group = Group::new(0.08);
    group.run(5 * SECOND);
    let before = group.limit();
    group.cost = 50.0;
    group.run(5 * SECOND);
    assert!((group.limit() - before).abs() < 0.001, "{}", group.limit());
}

#[test]
fn a_group_without_measurements_returns_to_the_model() {
    let mut group = Group::new(0.7);
    group.cost = 4.0;
    group.run(10 * SECOND);
    assert!(group.limit() <= 0.25, "{}", group.limit());
    group.demand = 0.0;
    group.run(60 * SECOND);
    let model = MODEL.ceiling(SHIFT_SKEW, 1.0).per_slot();
    assert!(group.limit() > 0.95 * model, "{}", group.limit());
}

#[test]
fn a_leader_that_was_frozen_does_not_raise_the_limit_at_once() {
    let mut group = Group::new(0.0);
    (group.skew, group.known_skew) = (12.0, 12.0);
    group.advance();
    (group.skew, group.known_skew) = (1.2, 1.2);
    group.now += Duration::from_mins(1);
    group.advance();
    assert!(group.limit() <= 0.36, "{}", group.limit());
}

#[test]
fn nonsense_never_closes_the_group() {
    let models = [
        MODEL,
        Model { slots: 0, ..MODEL },
        Model { stride: 0, ..MODEL },
        Model {
            max_event_gap: Duration::ZERO,
            ..MODEL
        },
        Model {
            per_request: Duration::MAX,
            ..MODEL
        },
        Model {
            expert_share: f64::NAN,
            ..MODEL
        },
    ];
    let numbers = [f64::NAN, f64::INFINITY, -1.0, 0.0, 1.0, f64::MAX];
    for model in models {
        for number in numbers {
            let mut controller = Controller::new(model, Ceiling::new(0.0));
            let mut now = clock::now();
            for pass in [Duration::ZERO, Duration::MAX, Duration::MAX] {
                now += TICK;
                controller.measure(pass, number, number, now);
                let conditions = Conditions {
                    skew: number,
                    shift_skew: Some(number),
                    fill: number,
                };
                controller.update(&conditions, now);
                let limit = controller.limit().map_or(0.0, Ceiling::per_slot);
                assert!((0.25..=1.0).contains(&limit), "{limit} {model:?} {number}");
            }
        }
    }
}

#[test]
fn the_operators_ceiling_bounds_the_limit() {
    let mut controller = Controller::new(MODEL, Ceiling::new(0.2));
    let conditions = Conditions {
        skew: 1.0,
        shift_skew: Some(1.0),
        fill: 0.0,
    };
    controller.update(&conditions, clock::now());
    assert_eq!(controller.limit(), Some(Ceiling::new(0.2)));
}

#[test]
fn changes_of_five_percent_count() {
    let limit = Ceiling::new(0.6);
    assert!(!Ceiling::new(0.571).differs(limit) && !Ceiling::new(0.629).differs(limit));
    assert!(Ceiling::new(0.57).has_fallen(limit));
    assert!(Ceiling::new(0.63).differs(limit) && !Ceiling::new(0.63).has_fallen(limit));
    assert!(Ceiling::new(0.001).differs(Ceiling::new(0.0)));
    assert!(!Ceiling::new(0.0).differs(Ceiling::new(0.0)));
}
