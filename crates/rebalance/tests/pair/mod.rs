//! A group of two ranks without a network.

use std::time::Duration;

use cactusnotch_base::clock::{self, Instant};
use cactusnotch_overload::{Ceiling, Model};
use cactusnotch_rebalance::message::{Round, Status};
use cactusnotch_rebalance::rank::Step;
use cactusnotch_rebalance::state::{Maps, Place};
use cactusnotch_rebalance::threshold::Threshold;
use cactusnotch_rebalance::{Rank, Shape, Slowdown, plan};

const TICK: Duration = Duration::from_millis(100);
pub const MODEL: Model = Model {
    slots: 12,
    step: Duration::from_millis(5),
    per_request: Duration::from_micros(1_704),
    stride: 4,
    expert_share: 0.85,
    max_event_gap: Duration::from_millis(150),
};

/// Two ranks of a group. The second one gets the announcements of the leader alone.
pub struct Group {
    pub leader: Rank,
    pub follower: Rank,
    pub now: Instant,
    pub name: &'static str,
    pub epoch: u64,
    pub term: u64,
    pub maps: Maps,
    pub shape: Shape,
    pub limited: bool,
    /// The gain required of a copy.
    pub gain: f64,
    pub fill: u16,
    /// The passes in each tick.
    pub passes: u64,
    /// The slowdown of the second rank.
    pub slowdown: f64,
    /// The choices in each tick, in units; none if the unit is zero.
    pub counts: [u8; 4],
    pub unit: f32,
    /// The shifts of demand that were found.
    pub shifts: u32,
}

impl Group {
    /// Creates a group in which no round begins.
    pub fn new() -> Self {
        Self {
            leader: Rank::default(),
            follower: Rank::default(),
            now: clock::now(),
            name: "g",
            epoch: 1,
            term: 7,
            maps: Maps::default(),
            shape: Shape {
                sets: 1,
                experts: 4,
                places: 3,
                spare: 2,
                copy: TICK,
                expert_part: 850,
            },
            limited: true,
            gain: 1_000.0,
            fill: 40,
            passes: 2,
            slowdown: 1.0,
            counts: [200; 4],
            unit: 20.0,
            shifts: 0,
        }
    }

    fn place(&self, rank: u16) -> Place {
        Place {
            group: self.name.to_owned(),
            epoch: self.epoch,
            rank,
            size: 2,
        }
    }

    fn status(&self, rank: u16) -> Status {
        let experts = 0..u16::try_from(self.shape.experts).expect("they are few");
        let held = experts.filter(|expert| expert % 2 == rank).collect();
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

    /// Advances both ranks; returns the leader's step. The follower gets an announcement if
    /// it is `delivered`.
    pub fn tick(&mut self, delivered: bool) -> Step {
        self.now += TICK;
        self.maps.step += self.passes;
        self.observe();
        let options = plan::Options {
            copies_per_rank: 2,
            threshold: Threshold {
                relaxed: self.gain,
                saturated: self.gain,
                copy: Duration::from_secs(1),
            },
            max_event_gap: Some(MODEL.max_event_gap),
        };
        let (place, status) = (self.place(0), self.status(1));
        let new = self.leader.lead(&place, self.shape, options, self.term);
        let lead = self.leader.coordinator.as_mut().expect("rank 0 leads");
        if new && self.limited {
            lead.limit_requests(MODEL, Ceiling::FULL);
        }
        if self.unit > 0.0 {
            let shifted = lead.add_counts(&place, &[self.unit], &self.counts, self.now);
            self.shifts += u32::from(shifted);
        }
        lead.record(status, self.now);
        let step = self.leader.step(self.status(0), self.now);
        if step.announce && delivered {
            let round = self.round();
            self.follower.member.update_limit(&round, self.now);
        }
        step
    }

    pub fn run(&mut self, ticks: u32) {
        for _ in 0..ticks {
            self.tick(true);
        }
    }

    pub fn observe(&mut self) {
        self.leader.observe(&self.place(0), &self.maps);
        self.follower.observe(&self.place(1), &self.maps);
    }

    pub fn round(&self) -> Round {
        let lead = self.leader.coordinator.as_ref().expect("rank 0 leads");
        lead.round().clone()
    }
}
