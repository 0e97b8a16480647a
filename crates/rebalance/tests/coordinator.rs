//! The reactions of a coordinator to the status reports of its ranks.

use std::time::Duration;

use cactusnotch_base::clock::{self, Instant};
use cactusnotch_rebalance::codec::Order;
use cactusnotch_rebalance::coordinator::{Coordinator, Event};
use cactusnotch_rebalance::message::{Phase, Status};
use cactusnotch_rebalance::plan;
use cactusnotch_rebalance::state::{Maps, Place};
use cactusnotch_rebalance::threshold::Threshold;
use cactusnotch_rebalance::{Shape, Slowdown};

/// The gain required of a copy: next to nothing, which makes rounds follow each other.
const THRESHOLD: Threshold = Threshold {
    relaxed: 0.01,
    saturated: 0.01,
    copy: Duration::from_secs(1),
};
const SHAPE: Shape = Shape {
    sets: 1,
    experts: 4,
    places: 3,
    spare: 2,
    copy: Duration::from_millis(100),
    expert_part: 850,
};

fn place(rank: u16) -> Place {
    Place {
        group: "g".to_owned(),
        epoch: 1,
        rank,
        size: 2,
    }
}

fn status(rank: u16, term: u64, maps: Maps) -> Status {
    let held = if rank == 0 { vec![0, 2] } else { vec![1, 3] };
    Status {
        place: place(rank),
        open: true,
        maps,
        pace: Slowdown::default(),
        fill: 50,
        term: Some(term),
        met: None,
        heard: None,
        known: None,
        held: Some(vec![held]),
    }
}

fn coordinator(term: u64) -> Coordinator {
    let options = plan::Options {
        copies_per_rank: 2,
        threshold: THRESHOLD,
        max_event_gap: None,
    };
    Coordinator::new(place(0), SHAPE, options, term)
}

/// Begins a round and returns the coordinator with the round's version.
fn begin(term: u64, now: Instant) -> (Coordinator, u64) {
    let mut lead = coordinator(term);
    for rank in 0..2 {
        lead.record(status(rank, term, Maps::default()), now);
    }
    lead.add_counts(&place(0), &[50.0], &[255, 10, 10, 10], now);
    let (order, event) = lead.step(&Maps::default(), now);
    assert_eq!(order, None);
    assert!(matches!(event, Some(Event::Began(_))), "{event:?}");
    let version = lead.round().version;
    (lead, version)
}

#[test]
fn two_incarnations_never_give_one_version_to_two_maps() {
    let now = clock::now();
    let (_, first) = begin(17, now);
    let (_, second) = begin(40_000, now);
    assert_ne!(first, second);
}

#[test]
fn status_reports_of_an_earlier_incarnation_are_ignored() {
    let now = clock::now();
    let mut lead = coordinator(9);
    lead.record(status(0, 9, Maps::default()), now);
    lead.record(status(1, 8, Maps::default()), now);
    lead.add_counts(&place(0), &[50.0], &[255, 10, 10, 10], now);
    let held = Maps {
        held: Some(5),
        ..Maps::default()
    };
    assert_eq!(lead.step(&held, now), (None, None));
}

#[test]
fn the_group_is_held_only_after_all_ranks_have_loaded() {
    let now = clock::now();
    let (mut lead, version) = begin(3, now);
    let loaded = Maps {
        step: 8,
        prepared: Some(version),
        ..Maps::default()
    };
    lead.record(status(0, 3, loaded), now);
    assert_eq!(lead.step(&loaded, now), (None, None));
    lead.record(status(1, 3, loaded), now);
    assert_eq!(
        lead.hold_request(&loaded, now),
        None,
        "not before the coordinator has evaluated it"
    );
    assert_eq!(lead.step(&loaded, now), (None, None));
    let asked = lead.hold_request(&loaded, now);
    assert!(matches!(asked, Some((1, step)) if step > 8), "{asked:?}");
    assert_eq!(
        lead.hold_request(&loaded, now),
        None,
        "the rank has some time to answer"
    );
    let later = now + Duration::from_millis(70);
    assert!(lead.hold_request(&loaded, later).is_some());
    assert_eq!(
        lead.round().phase,
        Phase::Commit,
        "the round is announced as committed, and no rank is armed before the hold is seen"
    );
}

/// Returns the coordinator of a group that another rank has held before pass 12, after all
/// ranks had loaded, and the report of its own endpoint.
fn held(now: Instant) -> (Coordinator, Maps) {
    let (mut lead, version) = begin(3, now);
    let loaded = Maps {
        step: 8,
        prepared: Some(version),
        ..Maps::default()
    };
    for rank in 0..2 {
        lead.record(status(rank, 3, loaded), now);
    }
    lead.step(&loaded, now);
    assert!(lead.hold_request(&loaded, now).is_some());
    let held = Maps {
        held: Some(12),
        ..loaded
    };
    assert_eq!(lead.step(&held, now).1, Some(Event::Held(12)));
    assert_eq!(lead.round().phase, Phase::Meet { step: 12 });
    (lead, held)
}

#[test]
fn ranks_are_armed_once_the_one_that_has_held_the_group_is_there() {
    let now = clock::now();
    let (mut lead, maps) = held(now);
    let confirmation = |met| Status {
        met,
        ..status(1, 3, Maps { held: None, ..maps })
    };
    lead.record(confirmation(Some(11)), now);
    lead.step(&maps, now);
    assert_eq!(lead.round().phase, Phase::Meet { step: 12 }, "another pass");
    lead.record(confirmation(Some(12)), now);
    let version = lead.round().version;
    let arm = Order::Arm { version, step: 12 };
    assert_eq!(lead.step(&maps, now), (Some(arm), None));
    assert_eq!(
        lead.round().phase,
        Phase::Meet { step: 12 },
        "no other rank is armed before this one is"
    );
    let armed = Maps {
        armed: maps.prepared,
        ..maps
    };
    assert_eq!(lead.step(&armed, now), (None, None));
    assert_eq!(lead.round().phase, Phase::Arm { step: 12 });
}

#[test]
fn a_group_is_let_go_if_the_rank_that_has_held_it_is_silent() {
    let now = clock::now();
    let (mut lead, maps) = held(now);
    assert_eq!(lead.confirmation_targets(now), [1]);
    assert!(lead.confirmation_targets(now).is_empty());
    assert_eq!(
        lead.confirmation_targets(now + Duration::from_millis(30)),
        [1]
    );
    let later = now + Duration::from_millis(200);
    // First its own rank reverts to the map in force, after which no agent can arm the new
    // one.
    let (order, event) = lead.step(&maps, later);
    assert_eq!(event, Some(Event::Released(12)));
    let version = lead.round().version;
    let Some(Order::Prepare {
        version: reverted, ..
    }) = order
    else {
        panic!("{order:?}");
    };
    assert!(reverted > version);
    assert_eq!(lead.round().phase, Phase::Meet { step: 12 });
    let unloaded = Maps {
        prepared: None,
        ..maps
    };
    let go = Order::Go { step: 12 };
    assert_eq!(lead.step(&unloaded, later), (Some(go), None));
    assert_eq!(lead.round().phase, Phase::Rest);
    assert_eq!(
        lead.round().version,
        reverted,
        "no other map gets that version"
    );
}

#[test]
fn a_round_goes_on_if_another_has_armed_the_leaders_rank() {
    let now = clock::now();
    let (mut lead, maps) = held(now);
    let armed = Maps {
        armed: maps.prepared,
        ..maps
    };
    let later = now + Duration::from_millis(200);
    assert_eq!(lead.step(&armed, later), (None, None));
    assert_eq!(lead.round().phase, Phase::Arm { step: 12 });
}

#[test]
fn a_round_that_does_not_load_is_given_up_for_a_higher_version() {
    let now = clock::now();
    let (mut lead, version) = begin(3, now);
    let later = now + Duration::from_secs(4);
    for rank in 0..2 {
        lead.record(status(rank, 3, Maps::default()), later);
    }
    assert_eq!(
        lead.step(&Maps::default(), later).1,
        Some(Event::Abandoned(version))
    );
    lead.add_counts(&place(0), &[50.0], &[255, 10, 10, 10], later);
    let (_, event) = lead.step(&Maps::default(), later);
    assert!(matches!(event, Some(Event::Began(_))));
    assert!(lead.round().version > version + 1_000_000);
}

#[test]
fn a_group_found_held_is_armed_to_the_end_if_the_first_rank_is_armed() {
    let now = clock::now();
    let mut lead = coordinator(5);
    let loaded = Maps {
        step: 3,
        prepared: Some(7),
        ..Maps::default()
    };
    let armed = Maps {
        armed: Some(7),
        held: Some(5),
        ..loaded
    };
    lead.record(status(0, 5, armed), now);
    lead.record(status(1, 5, loaded), now);
    let found = (None, Some(Event::HoldFound(5)));
    assert_eq!(lead.step(&armed, now), found, "not released before all are");
    assert_eq!(lead.round().version, 7);
    assert_eq!(lead.round().phase, Phase::Arm { step: 5 });
    let other = Maps {
        armed: Some(7),
        ..loaded
    };
    lead.record(status(1, 5, other), now);
    assert_eq!(lead.step(&armed, now), (Some(Order::Go { step: 5 }), None));
}

/// Guards against a hold that a former leader has released by an order which is carried out
/// while ranks are armed for it: whether all have loaded the map or not, none is armed, and the
/// group is released after rank 0 can't be armed any more.
#[test]
fn a_group_found_held_is_let_go_unarmed_if_the_first_rank_is_not_armed() {
    let now = clock::now();
    for prepared in [Some(7), None] {
        let mut lead = coordinator(5);
        let held = Maps {
            step: 3,
            prepared: Some(7),
            held: Some(5),
            ..Maps::default()
        };
        let other = Maps {
            prepared,
            held: None,
            ..held
        };
        lead.record(status(0, 5, held), now);
        lead.record(status(1, 5, other), now);
        let (order, event) = lead.step(&held, now);
        assert_eq!(event, Some(Event::HoldFound(5)));
        let revert = |order| matches!(order, Some(Order::Prepare { version: 8, .. }));
        assert!(revert(order));
        let reverted = Maps {
            prepared: Some(8),
            ..held
        };
        lead.record(status(0, 5, reverted), now);
        assert_eq!(
            lead.step(&reverted, now),
            (Some(Order::Go { step: 5 }), None)
        );
        assert_eq!(lead.round().phase, Phase::Rest);
    }
}

/// Returns the coordinator of a group that was at pass `begun` when it began, after all ranks
/// have loaded its round at pass `step`, and the report of its own endpoint.
fn loaded(begun: u64, step: u64, now: Instant) -> (Coordinator, Maps) {
    let mut lead = coordinator(3);
    let first = Maps {
        step: begun,
        ..Maps::default()
    };
    for rank in 0..2 {
        lead.record(status(rank, 3, first), now);
    }
    lead.add_counts(&place(0), &[50.0], &[255, 10, 10, 10], now);
    lead.step(&first, now);
    let loaded = Maps {
        step,
        prepared: Some(lead.round().version),
        ..first
    };
    for rank in 0..2 {
        lead.record(status(rank, 3, loaded), now);
    }
    lead.step(&loaded, now);
    (lead, loaded)
}

/// Returns the pass before which such a coordinator asks for a hold.
fn named_pass(begun: u64, step: u64, now: Instant) -> Option<u64> {
    let (mut lead, loaded) = loaded(begun, step, now);
    lead.hold_request(&loaded, now).map(|(_, pass)| pass)
}

/// Guards against a hold before a pass that a former leader has named: its order to release that
/// pass may be carried out late.
#[test]
fn no_pass_is_named_that_a_former_coordinator_can_have_named() {
    let now = clock::now();
    let far = 30;
    assert_eq!(named_pass(0, 0, now), None, "before the first pass");
    for (begun, loaded_at) in [(0, 1), (3, 5), (3, 9), (3, far)] {
        let former = named_pass(begun, loaded_at, now);
        let former = former.expect("a pass is named once the group has made one");
        // The group makes no passes, the leader is killed, and another one begins.
        assert_eq!(named_pass(loaded_at, loaded_at, now), None);
        for passes in 1..far {
            let named = named_pass(loaded_at, loaded_at + passes, now);
            assert!(
                named.is_some_and(|pass| pass > former),
                "{named:?} after {former}, {passes} passes later"
            );
        }
    }
}

/// Guards against a hold by a late order that is taken for the one of the round, though the
/// group has been released from it before.
#[test]
fn a_hold_that_was_released_is_not_taken_for_that_of_the_round() {
    let now = clock::now();
    let (mut lead, loaded) = loaded(4, 10, now);
    assert_eq!(lead.hold_request(&loaded, now), Some((1, 13)));
    let held = |step| Maps {
        held: Some(step),
        ..loaded
    };
    let go = Order::Go { step: 12 };
    assert_eq!(lead.step(&held(12), now), (Some(go), None));
    assert_eq!(lead.round().phase, Phase::Commit);
    assert_eq!(lead.step(&held(13), now), (None, Some(Event::Held(13))));
}

/// Guards against a group that stands for good: others have completed the round before its leader
/// has seen the hold of it, and a late order then holds the group once more.
#[test]
fn a_late_hold_after_a_round_that_others_have_completed_is_released() {
    let now = clock::now();
    for held in [12, 13, 14] {
        let (mut lead, loaded) = loaded(4, 10, now);
        assert_eq!(lead.hold_request(&loaded, now), Some((1, 13)));
        let armed = Maps {
            armed: loaded.prepared,
            ..loaded
        };
        let stalled = Maps {
            held: Some(held),
            ..armed
        };
        lead.step(&stalled, now);
        for rank in 0..2 {
            lead.record(status(rank, 3, armed), now);
        }
        let go = Order::Go { step: held };
        assert_eq!(lead.step(&stalled, now).0, Some(go));
    }
}

#[test]
fn a_round_that_brings_little_is_not_begun() {
    let now = clock::now();
    let mut lead = coordinator(7);
    for rank in 0..2 {
        lead.record(status(rank, 7, Maps::default()), now);
    }
    lead.add_counts(&place(0), &[50.0], &[255, 250, 245, 250], now);
    assert_eq!(lead.step(&Maps::default(), now), (None, None));
}

#[test]
fn a_round_that_loads_is_replaced_once_demand_turns() {
    let start = clock::now();
    let (mut lead, version) = begin(7, start);
    let mut now = start;
    for _ in 0..4 {
        now += Duration::from_millis(130);
        for rank in 0..2 {
            lead.record(status(rank, 7, Maps::default()), now);
        }
        lead.add_counts(&place(0), &[50.0], &[10, 10, 10, 255], now);
        if let (_, Some(event)) = lead.step(&Maps::default(), now) {
            assert!(matches!(event, Event::Began(_)), "{event:?}");
            break;
        }
    }
    assert!(lead.round().version > version, "the round was replaced");
    let brings = lead.round().moves.iter().map(|step| step.new);
    assert_eq!(
        brings.collect::<Vec<_>>(),
        [Some(3)],
        "the expert that is popular now"
    );
}
