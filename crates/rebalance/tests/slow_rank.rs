//! A rank that takes twelve times as long as usual for nine seconds.
//!
//! The load is that of a model server that becomes slow while its group serves: 8 ranks, 6
//! sets of 64 experts, 11 places, popularity that falls off by a power of the order. While
//! maps assumed all ranks to be equally fast, simulated days with this load lost a sixth of
//! their value: a pass went from 60 ms to 450 ms.

use std::time::Duration;

use cactusnotch_base::clock;
use cactusnotch_rebalance::estimate::{Estimate, pack};
use cactusnotch_rebalance::plan::{Group, Options, Plan, plan, skew_of};
use cactusnotch_rebalance::pressure::Pressure;
use cactusnotch_rebalance::threshold::Threshold;
use cactusnotch_rebalance::{Map, Shape};

const RANKS: usize = 8;
const SLOW: usize = 3;
/// The factor by which the slow rank takes longer.
const FACTOR: f64 = 12.0;
/// The rounds within which the group must be usable again: each takes about 0.4 s, and
/// callers leave after two seconds without an event.
const ROUNDS: usize = 4;
const SHAPE: Shape = Shape {
    sets: 6,
    experts: 64,
    places: 11,
    spare: 4,
    copy: Duration::from_millis(50),
    expert_part: 850,
};
const OPTIONS: Options = Options {
    copies_per_rank: 3,
    threshold: Threshold {
        relaxed: 0.25,
        saturated: 0.25,
        copy: SHAPE.copy,
    },
    max_event_gap: None,
};

fn number(value: usize) -> u16 {
    u16::try_from(value).expect("a small number")
}

/// Returns the map that assigns the experts to the ranks round-robin.
fn round_robin() -> Map {
    let held = |rank: usize| {
        (0..SHAPE.experts)
            .filter(move |expert| expert % RANKS == rank)
            .map(number)
            .collect()
    };
    let set = || (0..RANKS).map(held).collect();
    Map {
        sets: (0..SHAPE.sets).map(|_| set()).collect(),
    }
}

fn demand() -> Estimate {
    let one = |set: usize, expert: usize| {
        let order = (expert * 29 + set * 7) % SHAPE.experts;
        200_000 / (u64::from(number(order)) + 2)
    };
    let counts: Vec<_> = (0..SHAPE.sets)
        .flat_map(|set| (0..SHAPE.experts).map(move |expert| one(set, expert)))
        .collect();
    let mut estimate = Estimate::new(SHAPE.sets, SHAPE.experts);
    let (units, bytes) = pack(&counts, SHAPE.experts);
    estimate.add(&units, &bytes, clock::now());
    estimate
}

fn slowdowns(slow: &[usize]) -> Vec<f64> {
    let slowdown = |rank| if slow.contains(&rank) { FACTOR } else { 1.0 };
    (0..RANKS).map(slowdown).collect()
}

/// Plans and applies rounds; returns the last plan.
fn run_rounds(map: &mut Map, slowdowns: &[f64], count: usize) -> Plan {
    let group = Group {
        pressure: &Pressure::new(0.85, None),
        slowdowns,
    };
    let mut last = Plan::default();
    for _ in 0..count {
        last = plan(map, &demand(), &SHAPE, &OPTIONS, &group);
        assert!(last.moves.iter().all(|step| map.apply(step)));
        assert!(map.is_complete(SHAPE.experts, SHAPE.places));
    }
    last
}

#[test]
fn a_slow_rank_is_relieved_within_a_few_rounds() {
    let mut map = round_robin();
    run_rounds(&mut map, &slowdowns(&[]), 6);
    let before = skew_of(&map, &demand(), &slowdowns(&[SLOW]));
    let last = run_rounds(&mut map, &slowdowns(&[SLOW]), ROUNDS);
    assert!(
        before > 8_000,
        "the slow rank does not slow the group: {before}"
    );
    // Seven ranks with all the work have 8/7 of the mean load.
    assert!(
        last.after < 1_800,
        "the slow rank still delays the group: {}",
        last.after
    );
}

#[test]
fn maps_that_ignore_slowdown_leave_the_group_slow() {
    let mut map = round_robin();
    run_rounds(&mut map, &slowdowns(&[]), 6 + ROUNDS);
    let left = skew_of(&map, &demand(), &slowdowns(&[SLOW]));
    assert!(
        left > 8_000,
        "the load of this test does not slow the group: {left}"
    );
}

#[test]
fn a_rank_that_has_recovered_gets_its_part_again() {
    let mut map = round_robin();
    run_rounds(&mut map, &slowdowns(&[SLOW]), 8);
    let last = run_rounds(&mut map, &slowdowns(&[]), 8);
    assert!(last.after < 1_200, "the skew stays at {}", last.after);
}

#[test]
fn what_only_slow_ranks_have_room_for_stays_with_them() {
    // Five ranks have 55 places for 64 experts.
    let mut map = round_robin();
    let slow = slowdowns(&[1, 4, 6]);
    let before = skew_of(&map, &demand(), &slow);
    let last = run_rounds(&mut map, &slow, 8);
    assert!(
        last.after * 3 < before,
        "only the least used experts should stay: skew went from {before} to {}",
        last.after
    );
}

#[test]
fn giving_an_expert_up_needs_no_copy() {
    let mut map = round_robin();
    // All experts of the slow rank are held by its neighbour as well.
    for set in &mut map.sets {
        let held = set[SLOW].clone();
        set[SLOW + 1].extend(held.iter().take(SHAPE.places - 8));
        set[SLOW + 1].sort_unstable();
    }
    let plan = run_rounds(&mut map, &slowdowns(&[SLOW]), 1);
    let dropped = |step: &&cactusnotch_rebalance::map::Move| {
        step.new.is_none() && usize::from(step.rank) == SLOW
    };
    let count = plan.moves.iter().filter(dropped).count();
    assert!(count >= SHAPE.sets * 3, "only {count} experts were removed");
}
