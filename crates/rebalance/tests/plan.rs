//! Plans keep every expert held, stay within their bounds and lower the skew.

use std::time::Duration;

use cactusnotch_base::clock;
use cactusnotch_rebalance::estimate::{Estimate, pack};
use cactusnotch_rebalance::plan::{Group, Options, Plan, plan};
use cactusnotch_rebalance::pressure::Pressure;
use cactusnotch_rebalance::threshold::Threshold;
use cactusnotch_rebalance::{Map, Shape};
use proptest::prelude::*;

fn shape(sets: usize, experts: usize, places: usize) -> Shape {
    Shape {
        sets,
        experts,
        places,
        spare: 4,
        copy: Duration::from_millis(148),
        expert_part: 850,
    }
}

/// Returns the map that assigns the experts to the ranks round-robin.
fn round_robin(shape: &Shape, ranks: usize) -> Map {
    let rank = |rank: usize| (0..shape.experts).filter(move |expert| expert % ranks == rank);
    let number = |expert: usize| u16::try_from(expert).expect("few experts");
    let set = || {
        (0..ranks)
            .map(|at| rank(at).map(number).collect())
            .collect()
    };
    Map {
        sets: (0..shape.sets).map(|_| set()).collect(),
    }
}

/// Returns options under which each copy must remove `gain` mean loads.
fn options(copies_per_rank: usize, gain: f64) -> Options {
    Options {
        copies_per_rank,
        threshold: Threshold {
            relaxed: gain,
            saturated: gain,
            copy: Duration::from_secs(1),
        },
        max_event_gap: None,
    }
}

/// Plans for a group whose ranks all have their normal speed.
fn plan_even(map: &Map, estimate: &Estimate, shape: &Shape, options: &Options) -> Plan {
    plan_with_slowdowns(map, estimate, shape, options, &vec![1.0; map.sets[0].len()])
}

fn plan_with_slowdowns(
    map: &Map,
    estimate: &Estimate,
    shape: &Shape,
    options: &Options,
    slowdowns: &[f64],
) -> Plan {
    let group = Group {
        pressure: &Pressure::new(0.85, None),
        slowdowns,
    };
    plan(map, estimate, shape, options, &group)
}

fn estimate(shape: &Shape, counts: &[u64]) -> Estimate {
    let mut estimate = Estimate::new(shape.sets, shape.experts);
    let (units, bytes) = pack(counts, shape.experts);
    estimate.add(&units, &bytes, clock::now());
    estimate
}

/// Returns counts that fall off by a power of the popularity rank, shuffled by
/// a stride.
fn skewed(shape: &Shape) -> Vec<u64> {
    let one = |set: usize, expert: usize| {
        let order = (expert * 29 + set * 7) % shape.experts;
        200_000 / (u64::try_from(order).expect("few experts") + 2)
    };
    (0..shape.sets)
        .flat_map(|set| (0..shape.experts).map(move |expert| one(set, expert)))
        .collect()
}

#[test]
fn a_few_rounds_even_out_a_skewed_group_of_eight() {
    let shape = shape(6, 64, 11);
    let estimate = estimate(&shape, &skewed(&shape));
    let mut map = round_robin(&shape, 8);
    let options = options(2, 0.03);
    let first = plan_even(&map, &estimate, &shape, &options);
    let mut last = first.clone();
    for _ in 0..6 {
        last = plan_even(&map, &estimate, &shape, &options);
        assert!(last.moves.iter().all(|step| map.apply(step)));
    }
    assert!(
        first.before > 1_500,
        "the counts are not skewed: {}",
        first.before
    );
    assert!(
        last.after < 1_150,
        "six rounds leave a skew of {}",
        last.after
    );
}

proptest! {
    #[test]
    fn plans_keep_the_map_complete_and_within_bounds(
        counts in proptest::collection::vec(0_u64..100_000, 2 * 16),
        ranks in 2_usize..6,
        copies_per_rank in 1_usize..4,
    ) {
        let shape = shape(2, 16, 16 / ranks + 2);
        let estimate = estimate(&shape, &counts);
        let mut map = round_robin(&shape, ranks);
        let options = options(copies_per_rank, 0.01);
        for _ in 0..4 {
            let plan = plan_even(&map, &estimate, &shape, &options);
            prop_assert!(plan.after <= plan.before);
            let mut new = vec![0; ranks];
            for step in &plan.moves {
                prop_assert!(map.apply(step));
                new[usize::from(step.rank)] += usize::from(step.new.is_some());
            }
            prop_assert!(new.iter().all(|&new| new <= copies_per_rank));
            prop_assert!(map.is_complete(shape.experts, shape.places));
        }
    }

    #[test]
    fn packed_counts_have_a_precision_of_one_in_255(
        counts in proptest::collection::vec(0_u64..1_000_000, 32),
    ) {
        let (units, bytes) = pack(&counts, 16);
        for (at, &count) in counts.iter().enumerate() {
            let unit = f64::from(units[at / 16]);
            let decoded = unit * f64::from(bytes[at]);
            let count = f64::from(u32::try_from(count).expect("counts are small"));
            prop_assert!((decoded - count).abs() <= unit * 0.51 + 1e-3);
        }
    }
}

/// Returns the mean over the sets of the busiest rank's load relative to the
/// mean load, in thousandths, computed from the whole map.
fn skew(map: &Map, estimate: &Estimate) -> f64 {
    let of_set = |(set, ranks): (usize, &Vec<Vec<u16>>)| {
        let weights = estimate.set(set);
        let holders = |expert: u16| ranks.iter().filter(|held| held.contains(&expert)).count();
        let share = |&expert: &u16| {
            let holders = u32::try_from(holders(expert)).expect("few ranks");
            weights[usize::from(expert)] / f64::from(holders)
        };
        let loads = ranks.iter().map(|held| held.iter().map(share).sum::<f64>());
        let most = loads.fold(0.0, f64::max);
        let ranks = u32::try_from(ranks.len()).expect("few ranks");
        most * f64::from(ranks) / weights.iter().sum::<f64>()
    };
    let sets: Vec<_> = map.sets.iter().enumerate().map(of_set).collect();
    let count = u32::try_from(sets.len()).expect("few sets");
    1_000.0 * sets.iter().sum::<f64>() / f64::from(count)
}

#[test]
fn the_skew_that_a_plan_expects_is_that_of_the_map_it_makes() {
    let shape = shape(4, 64, 11);
    let estimate = estimate(&shape, &skewed(&shape));
    let mut map = round_robin(&shape, 8);
    let options = options(3, 0.005);
    for _ in 0..6 {
        let plan = plan_even(&map, &estimate, &shape, &options);
        assert!((f64::from(plan.before) - skew(&map, &estimate)).abs() < 1.0);
        assert!(plan.moves.iter().all(|step| map.apply(step)));
        assert!((f64::from(plan.after) - skew(&map, &estimate)).abs() < 1.0);
    }
}
