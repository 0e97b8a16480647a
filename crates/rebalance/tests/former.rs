//! A group that forms again: its leader plans the first map from the demand of the former
//! epoch, since callers remain the same.

mod pair;

use std::time::Duration;

use cactusnotch_rebalance::Rank;
use cactusnotch_rebalance::coordinator::Event;
use pair::Group;

const BREAK: Duration = Duration::from_secs(5);

/// Returns a group after its first epoch, in which expert 0 was popular. No choices are
/// counted from then on.
fn former(unit: f32) -> Group {
    let mut group = Group::new();
    (group.gain, group.unit, group.counts) = (0.01, unit, [255, 10, 10, 10]);
    group.run(1);
    (group.unit, group.epoch) = (0.0, 2);
    group
}

/// Returns the experts that the round which begins in the next tick brings to ranks.
fn began(group: &mut Group) -> Option<Vec<Option<u16>>> {
    match group.tick(true).event {
        Some(Event::Began(plan)) => Some(plan.moves.iter().map(|step| step.new).collect()),
        _ => None,
    }
}

fn first_round(mut group: Group, pause: Duration) -> Option<Vec<Option<u16>>> {
    group.now += pause;
    began(&mut group)
}

#[test]
fn the_first_map_follows_the_demand_of_the_former_epoch() {
    let popular = Some(vec![Some(0)]);
    assert_eq!(first_round(former(100.0), BREAK), popular);
    let mut restarted = former(100.0);
    restarted.leader.restart();
    assert_eq!(first_round(restarted, BREAK), popular);
    let mut new = former(100.0);
    new.leader = Rank::default();
    assert_eq!(first_round(new, BREAK), None);
}

/// Guards against a first plan that differs from that of earlier deployments although overload
/// control doesn't apply to the service.
#[test]
fn the_demand_of_the_former_epoch_has_no_effect_without_overload_control() {
    for (before, after) in [(false, false), (true, false), (false, true)] {
        let mut group = Group::new();
        (group.gain, group.unit, group.counts) = (0.01, 100.0, [255, 10, 10, 10]);
        group.limited = before;
        group.run(1);
        (group.unit, group.epoch, group.limited) = (0.0, 2, after);
        assert_eq!(first_round(group, BREAK), None, "{before}, then {after}");
    }
}

#[test]
fn a_demand_that_is_old_or_of_few_choices_or_another_group_is_dropped() {
    assert_eq!(first_round(former(100.0), Duration::from_mins(1)), None);
    assert_eq!(first_round(former(5.0), Duration::ZERO), None);
    let mut other = former(100.0);
    other.name = "h";
    assert_eq!(first_round(other, BREAK), None);
    let mut reshaped = former(100.0);
    reshaped.shape.experts = 5;
    assert_eq!(first_round(reshaped, BREAK), None);
}

#[test]
fn a_demand_that_has_shifted_meanwhile_replaces_that_of_the_former_epoch() {
    let mut group = former(1_000.0);
    group.now += BREAK;
    assert_eq!(began(&mut group), Some(vec![Some(0)]));
    (group.unit, group.counts) = (50.0, [10, 10, 10, 255]);
    let rounds: Vec<_> = (0..4).filter_map(|_| began(&mut group)).collect();
    assert_eq!((group.shifts, rounds), (1, vec![vec![Some(3)]]));
}

#[test]
fn the_first_reports_of_the_same_demand_are_not_a_shift() {
    let mut group = former(100.0);
    group.now += BREAK;
    group.unit = 1.0;
    // The first report after the break is a single rank's, of few choices.
    for counts in [[2, 3, 0, 2], [250, 12, 9, 11], [255, 9, 11, 9]] {
        group.counts = counts;
        group.run(1);
    }
    assert_eq!(group.shifts, 0);
}
