//! Every plan yields a valid map, whether it is carried out in full or in part.

use crate::group::Group;
use cactusnotch_placement::{Map, Options, Shape, State, Weights};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const SHAPE: Shape = Shape {
    layers: 2,
    experts: 16,
};
const RANKS: u16 = 6;
const SLOTS: usize = 5;

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 96,
        rng_seed: RngSeed::Fixed(6),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn loads() -> impl Strategy<Value = Vec<f64>> {
    let load = prop_oneof![3 => 1.0..20.0, 1 => 50.0..400.0, 1 => Just(0.0)];
    proptest::collection::vec(load, SHAPE.cells())
}

/// At least four ranks stay usable, which 16 experts in 5 slots per rank need.
fn states() -> impl Strategy<Value = Vec<State>> {
    let other = prop_oneof![Just(State::Gone), Just(State::Empty)];
    proptest::collection::vec((0..usize::from(RANKS), other), 0..3).prop_map(|lost| {
        let mut states = vec![State::Loaded; usize::from(RANKS)];
        for (at, state) in lost {
            states[at] = state;
        }
        states
    })
}

fn assert_valid(map: &Map, states: &[State], loaded: &[(u16, cactusnotch_placement::Cell)]) {
    map.check_slots(SLOTS)
        .expect("no rank holds more than its slots");
    for (cell, row) in map.cells() {
        assert!(!row.is_empty());
        for replica in row {
            let state = states[replica.rank.index()];
            let moved = loaded.contains(&(replica.rank.0, cell));
            assert!(
                state == State::Loaded || state == State::Empty && moved,
                "{cell} {replica:?}"
            );
        }
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn every_expert_has_a_live_replica_wherever_a_plan_is_cut(
        before in loads(),
        after in loads(),
        states in states(),
        fast in any::<bool>(),
    ) {
        let mut group = Group::new(Options::new(SHAPE, RANKS, SLOTS), &before);
        group.run(&before, 5);
        group.run(&after, 10);
        group.states = states;
        let weights = if fast { Weights::SKEW_FIRST } else { Weights::COST_FIRST };
        let old = group.map.clone();
        if let Some(plan) = group.plan(&weights) {
            for count in plan.required..=plan.moves.len() {
                let map = plan.map_after(count).expect("a plan can be cut after its required moves");
                let loaded: Vec<_> = plan.moves[..count].iter().map(|m| (m.to.0, m.cell)).collect();
                assert_valid(&map, &group.states, &loaded);
                for (cell, row) in map.cells() {
                    for replica in row {
                        let is_loaded = old.holds(replica.rank, cell) || loaded.contains(&(replica.rank.0, cell));
                        prop_assert!(is_loaded, "{cell} is used on rank {} before it is loaded", replica.rank);
                    }
                }
            }
            prop_assert!(plan.predicted.after >= plan.predicted.bound * 0.999);
            prop_assert!(plan.predicted.split <= plan.predicted.before * 1.001 || plan.required > 0);
        } else {
            prop_assert!(group.states.iter().all(|&state| state == State::Loaded));
        }
    }
}
