//! A group that forms again: its leader plans the first map from the demand of the former
//! epoch, since callers remain the same.

use std::time::Duration;

use cactusnotch_base::clock::{self, Instant};
use cactusnotch_rebalance::coordinator::{Coordinator, Event};
use cactusnotch_rebalance::message::Status;
use cactusnotch_rebalance::state::{Maps, Place};
use cactusnotch_rebalance::threshold::Threshold;
use cactusnotch_rebalance::{Rank, Shape, Slowdown, plan};

const TERM: u64 = 9;
const SHAPE: Shape = Shape {
    sets: 1,
    experts: 4,
    places: 3,
    spare: 2,
    copy: Duration::from_millis(100),
    expert_part: 850,
};
/// One rank reports its counts each 120 ms.
const REPORT: Duration = Duration::from_millis(130);

fn place(group: &str, epoch: u64, rank: u16) -> Place {
    Place {
        group: group.to_owned(),
        epoch,
        rank,
        size: 2,
    }
}

/// Has the rank lead the group in an epoch.
fn lead(rank: &mut Rank, group: &str, epoch: u64, shape: Shape) {
    let threshold = Threshold {
        relaxed: 0.01,
        saturated: 0.01,
        copy: Duration::from_secs(1),
    };
    let options = plan::Options {
        copies_per_rank: 2,
        threshold,
        max_event_gap: None,
    };
    rank.observe(&place(group, epoch, 0), &Maps::default());
    assert!(rank.lead(&place(group, epoch, 0), shape, options, TERM));
}

/// Returns a rank that has led group `g` in epoch 1, with a demand of `unit` times these
/// counts.
fn former(unit: f32, now: Instant) -> Rank {
    let mut rank = Rank::default();
    lead(&mut rank, "g", 1, SHAPE);
    let coordinator = rank.coordinator.as_mut().expect("it leads");
    coordinator.add_counts(&place("g", 1, 0), &[unit], &[255, 10, 10, 10], now);
    rank
}

/// Returns the experts that the round brings to ranks which the leader begins now, if any.
fn began(coordinator: &mut Coordinator, experts: u16, now: Instant) -> Option<Vec<Option<u16>>> {
    for rank in 0..2 {
        let held = (0..experts).filter(|expert| expert % 2 == rank).collect();
        let status = Status {
            place: place(&coordinator.place().group, coordinator.place().epoch, rank),
            open: true,
            maps: Maps::default(),
            pace: Slowdown::default(),
            fill: 50,
            term: Some(TERM),
            met: None,
            heard: None,
            known: None,
            held: Some(vec![held]),
        };
        coordinator.record(status, now);
    }
    match coordinator.step(&Maps::default(), now) {
        (_, Some(Event::Began(plan))) => Some(plan.moves.iter().map(|step| step.new).collect()),
        _ => None,
    }
}

/// Returns what the first round of `group` brings in epoch 2, before any choices.
fn first_round(
    rank: &mut Rank,
    group: &str,
    shape: Shape,
    now: Instant,
) -> Option<Vec<Option<u16>>> {
    lead(rank, group, 2, shape);
    let experts = u16::try_from(shape.experts).expect("they are few");
    began(rank.coordinator.as_mut().expect("it leads"), experts, now)
}

#[test]
fn the_first_map_follows_the_demand_of_the_former_epoch() {
    let now = clock::now();
    let later = now + Duration::from_secs(5);
    let mut rank = former(100.0, now);
    let popular = Some(vec![Some(0)]);
    assert_eq!(first_round(&mut rank, "g", SHAPE, later), popular);

    let mut restarted = former(100.0, now);
    restarted.restart();
    assert_eq!(first_round(&mut restarted, "g", SHAPE, later), popular);
    let mut new = Rank::default();
    assert_eq!(first_round(&mut new, "g", SHAPE, later), None);
}

#[test]
fn a_demand_that_is_old_or_of_few_choices_or_another_group_is_dropped() {
    let now = clock::now();
    let later = now + Duration::from_secs(5);
    let old = now + Duration::from_mins(1);
    let more = Shape {
        experts: 5,
        ..SHAPE
    };
    assert_eq!(first_round(&mut former(100.0, now), "g", SHAPE, old), None);
    assert_eq!(first_round(&mut former(5.0, now), "g", SHAPE, now), None);
    assert_eq!(
        first_round(&mut former(100.0, now), "h", SHAPE, later),
        None
    );
    assert_eq!(first_round(&mut former(100.0, now), "g", more, later), None);
}

#[test]
fn a_demand_that_has_shifted_meanwhile_replaces_that_of_the_former_epoch() {
    let mut now = clock::now();
    let mut rank = former(1_000.0, now);
    now += Duration::from_secs(2);
    lead(&mut rank, "g", 2, SHAPE);
    let coordinator = rank.coordinator.as_mut().expect("it leads");
    assert_eq!(began(coordinator, 4, now), Some(vec![Some(0)]));
    let mut shifts = 0;
    let mut last = None;
    for _ in 0..3 {
        let counts = [10, 10, 10, 255];
        let shifted = coordinator.add_counts(&place("g", 2, 0), &[50.0], &counts, now);
        shifts += u32::from(shifted);
        last = began(coordinator, 4, now).or(last);
        now += REPORT;
    }
    assert_eq!((shifts, last), (1, Some(vec![Some(3)])));
}

#[test]
fn the_first_reports_of_the_same_demand_are_not_a_shift() {
    let mut now = clock::now();
    let mut rank = former(100.0, now);
    now += Duration::from_secs(2);
    lead(&mut rank, "g", 2, SHAPE);
    let coordinator = rank.coordinator.as_mut().expect("it leads");
    // The first report after the break is a single rank's, with few choices.
    for counts in [[2, 3, 0, 2], [250, 12, 9, 11], [255, 9, 11, 9]] {
        let shifted = coordinator.add_counts(&place("g", 2, 0), &[1.0], &counts, now);
        assert!(!shifted, "{counts:?}");
        now += REPORT;
    }
}
