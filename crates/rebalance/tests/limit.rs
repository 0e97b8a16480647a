//! The limit of a group's requests on its way from the leader to the ranks, if processes
//! and messages fail.

use std::net::SocketAddr;
use std::time::Duration;

use cactusnotch_base::clock::{self, Instant};
use cactusnotch_derive::message;
use cactusnotch_gateway::endpoint::StartTime;
use cactusnotch_gateway::{datagram, peer};
use cactusnotch_overload::{Ceiling, Model};
use cactusnotch_rebalance::message::{Datagram, Phase, Round, Status};
use cactusnotch_rebalance::rank::Step;
use cactusnotch_rebalance::state::{Maps, Place};
use cactusnotch_rebalance::threshold::Threshold;
use cactusnotch_rebalance::{Rank, Shape, Slowdown, plan};

const TICK: Duration = Duration::from_millis(100);
const GROUP: &str = "g";
const SHAPE: Shape = Shape {
    sets: 1,
    experts: 4,
    places: 3,
    spare: 2,
    copy: Duration::from_millis(100),
    expert_part: 850,
};
const MODEL: Model = Model {
    slots: 12,
    step: Duration::from_millis(5),
    per_request: Duration::from_micros(1_704),
    stride: 4,
    expert_share: 0.85,
    max_event_gap: Duration::from_millis(150),
};

/// Two ranks of a group. The second one gets the announcements of the leader alone.
struct Group {
    leader: Rank,
    follower: Rank,
    now: Instant,
    epoch: u64,
    term: u64,
    maps: Maps,
    /// The gain required of a copy: as high as this, no round begins.
    gain: f64,
    fill: u16,
    slowdown: f64,
    counts: [u8; 4],
}

impl Group {
    fn new() -> Self {
        Self {
            leader: Rank::default(),
            follower: Rank::default(),
            now: clock::now(),
            epoch: 1,
            term: 7,
            maps: Maps::default(),
            gain: 1_000.0,
            fill: 40,
            slowdown: 1.0,
            counts: [200; 4],
        }
    }

    fn place(&self, rank: u16) -> Place {
        Place {
            group: GROUP.to_owned(),
            epoch: self.epoch,
            rank,
            size: 2,
        }
    }

    fn status(&self, rank: u16) -> Status {
        let held = [vec![0, 2], vec![1, 3]][usize::from(rank)].clone();
        Status {
            place: self.place(rank),
            open: true,
            maps: self.maps,
            pace: Slowdown::from_factor(if rank == 1 { self.slowdown } else { 1.0 }),
            fill: self.fill,
            term: Some(self.term),
            met: None,
            heard: None,
            known: None,
            held: Some(vec![held]),
        }
    }

    /// Advances both ranks; returns the leader's step. Of its announcements, the follower
    /// gets those for which `delivered` holds.
    fn tick(&mut self, delivered: bool) -> Step {
        self.now += TICK;
        self.maps.step += 2;
        let place = self.place(0);
        self.leader.observe(&place, &self.maps);
        let options = plan::Options {
            copies_per_rank: 2,
            threshold: Threshold {
                relaxed: self.gain,
                saturated: self.gain,
                copy: Duration::from_secs(1),
            },
            max_event_gap: Some(MODEL.max_event_gap),
        };
        let new = self.leader.lead(&place, SHAPE, options, self.term);
        let status = self.status(1);
        let lead = self.leader.coordinator.as_mut().expect("rank 0 leads");
        if new {
            lead.limit_requests(MODEL, Ceiling::FULL);
        }
        lead.add_counts(&place, &[20.0], &self.counts, self.now);
        lead.record(status, self.now);
        let step = self.leader.step(self.status(0), self.now);
        self.follower.observe(&self.place(1), &self.maps);
        if step.announce && delivered {
            let round = self.round();
            self.follower.member.update_limit(&round, self.now);
        }
        step
    }

    fn run(&mut self, ticks: u32) {
        for _ in 0..ticks {
            self.tick(true);
        }
    }

    fn round(&self) -> Round {
        let lead = self.leader.coordinator.as_ref().expect("rank 0 leads");
        lead.round().clone()
    }

    /// Returns the limit that the follower reports.
    fn reported(&self) -> Option<Ceiling> {
        self.follower.member.limit(GROUP, self.epoch, self.now)
    }
}

#[test]
fn the_limit_ends_if_the_leader_is_silent_and_a_new_one_states_it() {
    let mut group = Group::new();
    group.run(20);
    let before = group.reported();
    assert!(before.is_some());
    group.now += Duration::from_millis(800);
    assert_eq!(group.reported(), before, "two announcements may be lost");
    group.now += Duration::from_millis(500);
    assert_eq!(group.reported(), None);
    (group.leader, group.term) = (Rank::default(), 8);
    group.run(10);
    assert_eq!(group.reported(), before);
}

#[test]
fn ranks_that_miss_messages_keep_the_limit() {
    let mut group = Group::new();
    group.run(5);
    let mut announced = 0_u32;
    for _ in 0..100 {
        let before = announced;
        announced += u32::from(group.tick(before.is_multiple_of(2)).announce);
        assert!(group.reported().is_some());
    }
    assert!((20..=25).contains(&announced), "{announced}");
}

#[test]
fn an_idle_group_is_not_told_its_limit_again() {
    let mut group = Group::new();
    group.fill = 0;
    group.run(5);
    assert!((0..20).all(|_| !group.tick(true).announce));
}

#[test]
fn a_limit_of_another_epoch_is_ignored() {
    let mut group = Group::new();
    group.run(5);
    let former = group.round();
    group.epoch = 2;
    assert_eq!(group.reported(), None);
    group.follower.observe(&group.place(1), &group.maps);
    assert_eq!(group.reported(), None);
    group.run(5);
    let stated = group.reported();
    assert!(stated.is_some());
    let lower = Round {
        limit: Some(Ceiling::new(0.3)),
        ..former
    };
    group.follower.member.update_limit(&lower, group.now);
    assert_eq!(group.reported(), stated);
}

#[test]
fn limits_that_no_leader_states_do_not_close_the_group() {
    let mut group = Group::new();
    group.run(5);
    let mut round = group.round();
    round.limit = Some(Ceiling::new(0.0));
    group.follower.member.update_limit(&round, group.now);
    assert_eq!(group.reported(), None);
}

#[test]
fn a_rank_that_becomes_slow_changes_the_limit_within_a_second() {
    let mut group = Group::new();
    group.run(10);
    let before = group.reported().expect("the leader states it");
    group.slowdown = 12.0;
    group.run(10);
    let slow = group.reported().expect("the leader states it");
    assert!(slow.per_slot() <= 0.25, "{slow:?}");
    // A shift of demand meanwhile doesn't keep the limit low after the recovery.
    group.counts = [10, 240, 10, 240];
    group.run(10);
    group.slowdown = 1.0;
    group.run(50);
    let after = group.reported().expect("the leader states it");
    assert!(after >= before, "{after:?} {before:?}");
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

    group.gain = 0.01;
    (group.leader, group.term) = (Rank::default(), 8);
    group.counts = [255, 10, 255, 10];
    group.run(3);
    let round = group.round();
    assert_eq!(round.phase, Phase::Prepare);
    group.maps.prepared = Some(round.version);
    group.run(2);
    assert_eq!(group.round().phase, Phase::Commit);
    group.maps.held = Some(group.maps.step + 2);
    group.run(1);
    assert!(matches!(group.round().phase, Phase::Meet { .. }));
    group.slowdown = 12.0;
    for _ in 0..10 {
        let step = group.tick(true);
        let held = !matches!(group.round().phase, Phase::Rest);
        assert!(!(step.announce && held), "{:?}", group.round().phase);
    }
}

#[test]
fn a_group_without_overload_control_states_no_limit() {
    let mut group = Group::new();
    let place = group.place(0);
    let options = plan::Options {
        copies_per_rank: 2,
        threshold: Threshold {
            relaxed: 1_000.0,
            saturated: 1_000.0,
            copy: Duration::from_secs(1),
        },
        max_event_gap: None,
    };
    group.leader.observe(&place, &group.maps);
    group.leader.lead(&place, SHAPE, options, group.term);
    for _ in 0..20 {
        assert!(!group.tick(true).announce);
        assert_eq!(group.reported(), None);
    }
}

/// A round and a load as builds without overload control know them.
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
enum FormerDatagram {
    Round(FormerRound),
    Load(FormerLoad),
}

/// Returns `bytes` as an older build decodes and encodes them.
fn through_former(bytes: &[u8]) -> Vec<u8> {
    let former: FormerDatagram = datagram::decode(bytes).expect("an older build decodes it");
    datagram::encode(&former)
}

#[test]
fn older_builds_and_this_one_read_each_others_rounds() {
    let mut group = Group::new();
    group.run(1);
    let limited = group.round();
    assert!(limited.limit.is_some());
    let former = through_former(&datagram::encode(&Datagram::Round(limited.clone())));
    let round = Datagram::Round(Round {
        limit: None,
        ..limited
    });
    let read: Datagram = datagram::decode(&former).expect("this build decodes it");
    assert_eq!(read, round);
    let same = former == datagram::encode(&round);
    assert!(same, "a round without a limit differs on the wire");
}

#[test]
fn older_builds_and_this_one_read_each_others_loads() {
    let load = peer::Load {
        endpoint: SocketAddr::from(([10, 0, 0, 1], 7340)),
        born: Some(StartTime(1)),
        requests: 3,
        open: true,
        pass: 80,
        memory: 100,
        pace: Slowdown::default(),
        group: Some(peer::Group {
            name: GROUP.to_owned(),
            epoch: 1,
        }),
        limit: Some(Ceiling::new(0.5)),
    };
    let former = through_former(&datagram::encode(&peer::Datagram::Load(load.clone())));
    let read: peer::Datagram = datagram::decode(&former).expect("this build decodes it");
    let unlimited = peer::Load {
        group: None,
        limit: None,
        ..load
    };
    assert_eq!(read, peer::Datagram::Load(unlimited));
}
