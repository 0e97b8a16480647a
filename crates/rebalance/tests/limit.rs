//! The limit of a group's requests on its way from the leader to the ranks, if processes
//! and messages fail.

mod pair;

use std::net::SocketAddr;
use std::time::Duration;

use cactusnotch_derive::message;
use cactusnotch_gateway::endpoint::StartTime;
use cactusnotch_gateway::{datagram, peer};
use cactusnotch_overload::Ceiling;
use cactusnotch_overload::model::{MAP_0_SKEW, SHIFT_SKEW};
use cactusnotch_rebalance::coordinator::Event;
use cactusnotch_rebalance::message::{Datagram, Phase, Round};
use cactusnotch_rebalance::{Rank, Slowdown};
use pair::{Group, MODEL};

/// Returns the limit that the second rank reports, in requests for each slot.
fn reported(group: &Group) -> Option<f64> {
    let member = &group.follower.member;
    let limit = member.limit(group.name, group.epoch, group.now);
    limit.map(Ceiling::per_slot)
}

#[test]
fn the_limit_ends_if_the_leader_is_silent_and_a_new_one_states_it() {
    let mut group = Group::new();
    group.run(20);
    let before = reported(&group);
    assert!(before.is_some());
    group.now += Duration::from_millis(800);
    assert_eq!(reported(&group), before, "an announcement may be lost");
    group.now += Duration::from_millis(500);
    assert_eq!(reported(&group), None);
    (group.leader, group.term) = (Rank::default(), 8);
    group.run(10);
    assert_eq!(reported(&group), before);
}

#[test]
fn ranks_that_miss_messages_keep_the_limit_and_idle_ones_get_none() {
    let mut group = Group::new();
    group.run(5);
    let mut announced = 0_u32;
    for _ in 0..100 {
        let before = announced;
        announced += u32::from(group.tick(before.is_multiple_of(2)).announce);
        assert!(reported(&group).is_some());
    }
    assert!((20..=25).contains(&announced), "{announced}");
    group.fill = 0;
    assert!((0..20).all(|_| !group.tick(true).announce));
}

#[test]
fn a_limit_of_another_epoch_or_of_zero_is_ignored() {
    let mut group = Group::new();
    group.run(5);
    let mut former = group.round();
    group.epoch = 2;
    assert_eq!(reported(&group), None);
    group.observe();
    assert_eq!(reported(&group), None);
    group.run(5);
    let stated = reported(&group);
    assert!(stated.is_some());
    former.limit = Some(Ceiling::new(0.3));
    group.follower.member.update_limit(&former, group.now);
    assert_eq!(reported(&group), stated);
    former.epoch = 2;
    former.limit = Some(Ceiling::new(0.0));
    group.follower.member.update_limit(&former, group.now);
    assert_eq!(reported(&group), None);
}

#[test]
fn a_rank_that_becomes_slow_changes_the_limit_within_a_second() {
    let mut group = Group::new();
    group.run(10);
    let before = reported(&group);
    group.slowdown = 12.0;
    group.run(10);
    assert!(reported(&group) <= Some(0.25), "{:?}", reported(&group));
    // A shift of demand meanwhile doesn't keep the limit low after the recovery.
    group.counts = [10, 240, 10, 240];
    group.run(10);
    group.slowdown = 1.0;
    group.run(50);
    assert!(reported(&group) >= before, "{:?}", reported(&group));
}

#[test]
fn the_limit_assumes_the_skew_of_map_0_until_enough_choices_are_counted() {
    let limit_at = |skew| Some(MODEL.ceiling(skew, 0.0).per_slot());
    let mut group = Group::new();
    // A single choice in a tick, all at one rank, shows no skew.
    for (unit, counts, skew) in [
        (0.0, [200; 4], MAP_0_SKEW),
        (1.0, [0, 1, 0, 0], MAP_0_SKEW),
        (20.0, [200; 4], SHIFT_SKEW),
    ] {
        (group.unit, group.counts) = (unit, counts);
        group.run(15);
        assert_eq!(reported(&group), limit_at(skew));
    }
    // Once it is known, the skew follows a slow rank while few choices are counted.
    (group.unit, group.counts) = (1.0, [1; 4]);
    group.run(100);
    group.slowdown = 12.0;
    group.run(10);
    assert!(reported(&group) <= Some(0.25), "{:?}", reported(&group));
}

#[test]
fn a_group_that_forms_again_keeps_its_overhead_and_its_usual_shift_skew() {
    let mut group = Group::new();
    group.passes = 1;
    group.run(10);
    group.counts = [10, 240, 10, 240];
    group.run(40);
    let before = reported(&group);
    group.epoch = 2;
    group.run(1);
    assert_eq!(reported(&group), before);
    // The overhead ages while nothing is measured.
    group.epoch = 3;
    group.now += Duration::from_secs(10);
    group.run(1);
    let aged = reported(&group);
    assert!(aged > before, "{aged:?}");
    assert!(aged > Some(MODEL.ceiling(SHIFT_SKEW, 0.0).per_slot()));
    // Another group has neither.
    (group.epoch, group.name) = (1, "h");
    group.run(1);
    let new = MODEL.ceiling(SHIFT_SKEW, 0.0).per_slot();
    assert_eq!(reported(&group), Some(new));
}

#[test]
fn entries_are_told_at_once_of_a_limit_that_has_fallen() {
    let mut group = Group::new();
    group.run(10);
    let stated = group.round().limit.expect("the leader states it");
    let fallen = |sent: f64| {
        let sent = Ceiling::new(stated.per_slot() * sent);
        let member = &group.follower.member;
        member.fallen_limit("g", 1, sent, group.now)
    };
    assert_eq!([fallen(1.04), fallen(0.5)], [None, None]);
    assert_eq!(fallen(1.06), Some(stated));
}

#[test]
fn changed_limits_are_announced_at_intervals_and_not_while_ranks_are_armed() {
    let mut group = Group::new();
    group.run(10);
    group.slowdown = 12.0;
    group.run(10);
    group.slowdown = 1.0;
    // The limit rises with each step, by 5% or more within each 0.25 s.
    let announced = (0..12).filter(|_| group.tick(true).announce).count();
    assert_eq!(announced, 4);

    (group.leader, group.term, group.gain) = (Rank::default(), 8, 0.01);
    group.counts = [255, 10, 255, 10];
    group.run(3);
    assert_eq!(group.round().phase, Phase::Prepare);
    group.maps.prepared = Some(group.round().version);
    group.run(2);
    assert_eq!(group.round().phase, Phase::Commit);
    group.maps.held = Some(group.maps.step + 2);
    group.run(1);
    assert!(matches!(group.round().phase, Phase::Meet { .. }));
    for slowdown in [12.0; 10] {
        group.slowdown = slowdown;
        let announced = group.tick(true).announce;
        assert!(!announced || group.round().phase == Phase::Rest);
    }
}

#[test]
fn only_without_overload_control_do_shifts_to_slow_ranks_raise_the_pressure_for_long() {
    for limited in [true, false] {
        let mut group = Group::new();
        (group.limited, group.gain) = (limited, 0.01);
        group.run(10);
        (group.counts, group.slowdown) = ([10, 240, 10, 240], 12.0);
        group.run(10);
        group.slowdown = 1.0;
        let pressure = (0..50).filter_map(|_| match group.tick(true).event {
            Some(Event::Began(plan)) => Some(plan.pressure),
            _ => None,
        });
        let pressure = pressure.last().expect("a round begins");
        assert_eq!(pressure < 100, limited, "{pressure}");
    }
}

#[test]
fn a_group_without_overload_control_states_no_limit() {
    let mut group = Group::new();
    group.limited = false;
    assert!((0..20).all(|_| !group.tick(true).announce));
    assert_eq!(reported(&group), None);
}

/// A round and a load as builds without overload control know them. They state no released pass
/// either.
#[message]
struct FormerRound {
    group: String,
    epoch: u64,
    term: u64,
    version: u64,
    base: u64,
    #[serde(with = "serde_bytes")]
    moves: Vec<u8>,
    phase: Phase,
    asks_held: bool,
}

#[message]
struct FormerLoad {
    endpoint: SocketAddr,
    born: Option<StartTime>,
    requests: u32,
    open: bool,
    pass: u16,
    memory: u16,
    pace: Slowdown,
}

#[message]
enum Former {
    Round(FormerRound),
    Load(FormerLoad),
}

/// Returns `bytes` as an older build decodes and encodes them.
fn through_former(bytes: &[u8]) -> Vec<u8> {
    let former: Former = datagram::decode(bytes).expect("an older build decodes it");
    datagram::encode(&former)
}

#[test]
fn older_builds_and_this_one_read_each_others_messages() {
    let mut group = Group::new();
    group.run(1);
    let round = group.round();
    assert!(round.limit.is_some() && round.released > 0);
    let former = through_former(&datagram::encode(&Datagram::Round(round.clone())));
    let round = Datagram::Round(Round {
        limit: None,
        released: 0,
        ..round
    });
    let read: Datagram = datagram::decode(&former).expect("this build decodes it");
    assert_eq!(read, round);
    let same = former == datagram::encode(&round);
    assert!(same, "a round without both differs on the wire");

    let former = datagram::encode(&Former::Load(FormerLoad {
        endpoint: SocketAddr::from(([10, 0, 0, 1], 7340)),
        born: Some(StartTime(1)),
        requests: 3,
        open: true,
        pass: 80,
        memory: 100,
        pace: Slowdown::default(),
    }));
    let read = datagram::decode(&former).expect("this build decodes it");
    let peer::Datagram::Load(mut load) = read else {
        panic!("{read:?}");
    };
    assert_eq!((&load.group, load.limit), (&None, None));
    load.limit = Some(Ceiling::new(0.5));
    let bytes = datagram::encode(&peer::Datagram::Load(load));
    assert_eq!(through_former(&bytes), former);
}
