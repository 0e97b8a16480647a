//! When the planner moves experts, and when it leaves them in place.

use std::time::Duration;

use crate::group::{Group, loads_with_hot_expert};
use cactusnotch_placement::{Cell, Map, Options, Rank, Shape, Weights, bound, pack};

const SHAPE: Shape = Shape {
    layers: 4,
    experts: 16,
};
const BASE_LOAD: f64 = 40.0;

fn group(loads: &[f64]) -> Group {
    let mut group = Group::new(Options::new(SHAPE, 16, 2), loads);
    group.run(loads, 600);
    group
}

#[test]
fn a_short_burst_moves_experts_for_skew_first_only() {
    let even = vec![BASE_LOAD; SHAPE.cells()];
    let burst = loads_with_hot_expert(SHAPE, BASE_LOAD, 3, 5.0);
    let moves = |weights: &Weights| {
        let mut group = group(&even);
        let settled = group.run_planner(&even, weights, 4);
        let moves = group.run_planner(&burst, weights, 2);
        (settled, moves, group.skew(&burst))
    };
    let (settled, skew_first, skew) = moves(&Weights::SKEW_FIRST);
    assert_eq!(settled, 0);
    assert!(
        skew_first > 0 && skew < 1.5,
        "{skew_first} moves, skew {skew}"
    );
    let (settled, cost_first, _) = moves(&Weights {
        cost: 4.0,
        ..Weights::COST_FIRST
    });
    assert_eq!((settled, cost_first), (0, 0));
}

#[test]
fn a_lasting_change_is_followed_by_both_profiles() {
    let even = vec![BASE_LOAD; SHAPE.cells()];
    let lasting = loads_with_hot_expert(SHAPE, BASE_LOAD, 3, 5.0);
    for weights in [Weights::SKEW_FIRST, Weights::COST_FIRST] {
        let mut group = group(&even);
        assert!(group.skew(&lasting) > 2.0);
        group.run_planner(&lasting, &weights, 60);
        assert!(
            group.skew(&lasting) < 1.1,
            "{weights:?}: {}",
            group.skew(&lasting)
        );
    }
}

#[test]
fn a_move_that_does_not_pay_back_is_refused() {
    let even = vec![BASE_LOAD; SHAPE.cells()];
    let lasting = loads_with_hot_expert(SHAPE, BASE_LOAD, 3, 5.0);
    let moves = |weights: &Weights, rate: u64| {
        let mut group = group(&even);
        group.budget.rate = rate;
        group.run_planner(&lasting, weights, 60)
    };
    assert!(moves(&Weights::BALANCED, 1_000_000_000) > 0);
    let costly = Weights {
        cost: 1e4,
        ..Weights::BALANCED
    };
    assert_eq!(moves(&costly, 1_000_000_000), 0, "moves weigh too much");
    let brief = Weights {
        horizon: Duration::from_millis(10),
        ..Weights::BALANCED
    };
    assert_eq!(moves(&brief, 1_000_000_000), 0, "savings do not last");
    assert_eq!(
        moves(&Weights::BALANCED, 8_000_000),
        0,
        "no load fits into the budget"
    );
}

#[test]
fn traffic_is_rebalanced_before_experts_are_moved() {
    let even = vec![BASE_LOAD; SHAPE.cells()];
    let mut group = group(&even);
    let lasting = loads_with_hot_expert(SHAPE, BASE_LOAD, 3, 1.5);
    group.run(&lasting, 400);
    let costly = Weights {
        cost: 100.0,
        skew: 100.0,
        horizon: Duration::ZERO,
        ..Weights::BALANCED
    };
    let before = group.skew(&lasting);
    let plan = group.plan(&costly).expect("a new split is worth a switch");
    assert!(plan.moves.is_empty() && plan.predicted.split < plan.predicted.before);
    group.map = plan.map().unwrap();
    assert!(group.skew(&lasting) < before);
}

#[test]
fn a_slow_rank_receives_less_traffic() {
    let even = vec![BASE_LOAD; SHAPE.cells()];
    let mut group = group(&even);
    group.speeds[5] /= 2.0;
    let traffic = |map: &Map| -> f64 {
        let shares = map.cells().flat_map(|(_, row)| row);
        shares
            .filter(|r| r.rank == Rank(5))
            .map(|r| r.share.fraction())
            .sum()
    };
    let before = traffic(&group.map);
    group.run_planner(&even, &Weights::BALANCED, 12);
    let after = traffic(&group.map);
    assert!(after < 0.6 * before, "{before} before, {after} after");
    assert!(group.skew(&even) < 1.1, "{}", group.skew(&even));
}

#[test]
fn nothing_is_moved_for_speed_on_stale_reports() {
    let mut group = group(&[BASE_LOAD; SHAPE.cells()]);
    group.run(&loads_with_hot_expert(SHAPE, BASE_LOAD, 3, 5.0), 60);
    group.now += Duration::from_mins(2);
    let plan = group.plan(&Weights::SKEW_FIRST);
    assert!(plan.is_none_or(|plan| plan.moves.is_empty()));
}

#[test]
fn plans_are_the_same_each_time() {
    let even = vec![BASE_LOAD; SHAPE.cells()];
    let run = || {
        let mut group = group(&even);
        group.run_planner(
            &loads_with_hot_expert(SHAPE, BASE_LOAD, 3, 5.0),
            &Weights::BALANCED,
            10,
        );
        group.map.digest()
    };
    assert_eq!(run(), run());
}

#[test]
fn a_map_keeps_its_digest_when_it_is_sent_and_is_checked_when_it_arrives() {
    let loads = loads_with_hot_expert(SHAPE, BASE_LOAD, 3, 5.0);
    let map = pack::map(SHAPE, &loads, &[1.0; 16], 2).unwrap();
    let mut bytes = Vec::new();
    ciborium::into_writer(&map, &mut bytes).unwrap();
    let read: Map = ciborium::from_reader(bytes.as_slice()).unwrap();
    assert_eq!((read.digest(), &read), (map.digest(), &map));
    let rows: Vec<_> = map.cells().map(|(_, row)| row.to_vec()).collect();
    let mut empty = rows.clone();
    empty[7].clear();
    assert!(Map::new(SHAPE, empty).is_err());
    let mut short = rows.clone();
    short[0][0].share.0 -= 1;
    assert!(Map::new(SHAPE, short).is_err());
    assert!(map.check_slots(2).is_ok() && map.check_slots(1).is_err());
    assert_eq!(
        map.replicas(Cell {
            layer: 9,
            expert: 0
        }),
        &[]
    );
}

#[test]
fn the_bound_counts_slots() {
    // Two ranks with one slot each: the heavy expert can have only one of them.
    assert!((bound::layer_time(&[3.0, 1.0], &[1.0, 1.0], 1) - 3.0).abs() < 1e-6);
    assert!((bound::layer_time(&[3.0, 1.0], &[1.0, 1.0], 2) - 2.0).abs() < 1e-6);
}
