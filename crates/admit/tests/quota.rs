//! Tests of the exchange of quota through the public API, over a network that
//! loses, repeats and reorders messages.

use std::time::Duration;

use cactusnotch_admit::quota::{Exchange, Key, Message, Options, Unit};
use cactusnotch_base::Table;
use cactusnotch_base::clock::{self, Instant};
use cactusnotch_base::name::{Organisation, Process};
use cactusnotch_base::number::{Incarnation, Revision};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const NODES: usize = 5;
const CAP: u32 = 23;

fn key() -> Key {
    Key {
        organisation: Organisation::new("letters"),
        unit: Unit::Concurrency,
    }
}

fn name(node: usize) -> Process {
    Process::new(format!("e{node}"))
}

/// The entries and the messages in flight between them.
struct World {
    nodes: Vec<Exchange>,
    in_flight: Vec<(usize, usize, Message)>,
    start: Instant,
    time: Duration,
    incarnations: u64,
    roster: Vec<Process>,
    cap: u32,
    revision: u64,
    applied: [u64; NODES],
    paused: [bool; NODES],
    highest_sum: u32,
}

impl World {
    fn new() -> Self {
        let start = clock::now();
        let node = |at| Exchange::new(name(at), Incarnation(0), options(), start);
        let mut world = Self {
            nodes: (0..NODES).map(node).collect(),
            in_flight: Vec::new(),
            start,
            time: Duration::ZERO,
            incarnations: 0,
            roster: (0..NODES).map(name).collect(),
            cap: CAP,
            revision: 1,
            applied: [0; NODES],
            paused: [false; NODES],
            highest_sum: 0,
        };
        for node in 0..NODES {
            world.apply_caps(node);
        }
        world
    }

    /// Returns the time of a node's clock, which drifts relative to the others.
    fn now(&self, node: usize) -> Instant {
        let drift = [1.0, 1.04, 0.96, 1.02, 0.98][node];
        self.start + self.time.mul_f64(drift)
    }

    fn apply_caps(&mut self, node: usize) {
        let caps = [(key(), self.cap)].into_iter().collect::<Table<_, _>>();
        self.nodes[node].set_caps(Revision(self.revision), &self.roster, caps);
        self.applied[node] = self.revision;
    }

    /// Confirms the newest revision that all entries have applied.
    fn confirm(&mut self, node: usize) {
        let all = self.applied.iter().min().copied().unwrap_or(0);
        let now = self.now(node);
        self.nodes[node].confirm(Revision(all), now);
    }

    fn restart(&mut self, node: usize) {
        self.incarnations += 1;
        let (incarnation, now) = (Incarnation(self.incarnations), self.now(node));
        self.nodes[node] = Exchange::new(name(node), incarnation, options(), now);
        self.apply_caps(node);
    }

    fn post(&mut self, from: usize, messages: Vec<(Process, Message)>) {
        for (to, message) in messages {
            let to = (0..NODES).find(|&node| name(node) == to).expect("known");
            self.in_flight.push((from, to, message));
        }
    }

    fn tick(&mut self, node: usize) {
        let now = self.now(node);
        let messages = self.nodes[node].tick(now);
        self.post(node, messages);
    }

    fn deliver(&mut self, at: usize, repeat: bool) {
        if self.in_flight.is_empty() {
            return;
        }
        let at = at % self.in_flight.len();
        let (from, to, message) = self.in_flight[at].clone();
        if !repeat {
            self.in_flight.swap_remove(at);
        }
        let now = self.now(to);
        let answers = self.nodes[to].receive(&name(from), &message, now);
        self.post(to, answers);
    }

    fn set_demand(&mut self, node: usize, used: u32, wanted: u32) {
        let now = self.now(node);
        let used = used.min(self.nodes[node].held(&key(), now));
        self.nodes[node].set_demand(&key(), used, wanted, now);
    }

    fn held(&self, node: usize) -> u32 {
        self.nodes[node].held(&key(), self.now(node))
    }

    fn sum(&mut self) -> u32 {
        let sum = (0..NODES).map(|node| self.held(node)).sum();
        self.highest_sum = self.highest_sum.max(sum);
        sum
    }

    /// Runs without faults for `time`.
    fn settle(&mut self, time: Duration) {
        let end = self.time + time;
        while self.time < end {
            self.time += Duration::from_millis(50);
            for node in 0..NODES {
                self.confirm(node);
                self.tick(node);
            }
            while !self.in_flight.is_empty() {
                self.deliver(0, false);
            }
            assert!(self.sum() <= self.cap.max(CAP));
        }
    }

    /// Runs the entries that are not paused over a network that loses a tenth of
    /// the messages and repeats a tenth. Messages to paused entries remain in
    /// flight.
    fn round(&mut self, seed: u16) {
        let rng = &mut StdRng::seed_from_u64(u64::from(seed));
        for _ in 0..rng.random_range(1..30) {
            self.time += Duration::from_millis(rng.random_range(20..200));
            for node in 0..NODES {
                if !self.paused[node] && rng.random_bool(0.8) {
                    self.tick(node);
                }
            }
            let mut at = 0;
            while at < self.in_flight.len() {
                if self.paused[self.in_flight[at].1] || rng.random_bool(0.2) {
                    at += 1;
                } else if rng.random_bool(0.1) {
                    self.in_flight.swap_remove(at);
                } else {
                    self.deliver(at, rng.random_bool(0.1));
                }
            }
            assert!(self.sum() <= CAP, "{} in a round", self.sum());
        }
    }

    fn run_op(&mut self, (op, node, number): (u8, usize, u16)) {
        let at = usize::from(number);
        match op {
            0..=4 => self.set_demand(node, u32::from(number % 9), u32::from(number % 40)),
            5..=8 => self.tick(node),
            9..=14 => self.deliver(at, false),
            15 => self.deliver(at, true),
            16..=17 => self.time += Duration::from_millis(u64::from(number % 900)),
            18..=25 => self.round(number),
            26..=27 => self.paused[node] = !self.paused[node],
            28 => self.restart(node),
            29 => {
                self.revision += 1;
                let on = |other: &usize| *other == node || (at >> other) & 1 == 1;
                self.roster = (0..NODES).filter(on).map(name).collect();
                self.apply_caps(node);
            }
            30..=33 => self.apply_caps(node),
            _ => self.confirm(node),
        }
    }
}

fn options() -> Options {
    Options {
        lender_size: 8,
        ..Options::default()
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 250,
        rng_seed: RngSeed::Fixed(4),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// The entries together never hold more than the cap, under lost, repeated
    /// and late messages, restarts, pauses and roster changes.
    #[test]
    fn held_quota_never_exceeds_the_cap(
        ops in prop::collection::vec((0_u8..39, 0..NODES, any::<u16>()), 20..200),
    ) {
        let mut world = World::new();
        for node in 0..NODES {
            world.set_demand(node, 0, 9);
        }
        world.settle(Duration::from_secs(5));
        for op in ops {
            world.run_op(op);
            let sum = world.sum();
            prop_assert!(sum <= CAP, "{sum} after {op:?}");
        }
        prop_assert_eq!(world.highest_sum, CAP);
    }
}

#[test]
fn idle_capacity_is_borrowed_and_given_back() {
    let mut world = World::new();
    world.set_demand(0, 0, 100);
    world.settle(Duration::from_secs(5));
    assert_eq!(world.held(0), CAP, "the only busy entry gets the whole cap");
    world.set_demand(1, 0, 100);
    world.settle(Duration::from_secs(6));
    let held = [world.held(0), world.held(1)];
    assert!(held.iter().all(|&held| held >= CAP / 2 - 2), "{held:?}");
    world.set_demand(0, 0, 0);
    world.settle(Duration::from_secs(12));
    assert_eq!((world.held(0), world.held(1)), (0, CAP));
}

#[test]
fn quota_of_a_crashed_entry_returns_after_the_lease() {
    let mut world = World::new();
    world.set_demand(0, 0, 100);
    world.settle(Duration::from_secs(5));
    world.restart(0);
    world.set_demand(1, 0, 100);
    world.settle(Duration::from_millis(100));
    assert!(world.held(1) < CAP / 2, "it may still be in use");
    world.settle(Duration::from_secs(6));
    assert_eq!(world.held(1), CAP);
}

#[test]
fn a_lowered_cap_applies_one_hold_after_all_applied_it() {
    let mut world = World::new();
    for node in 0..NODES {
        world.set_demand(node, 20, 20);
    }
    world.settle(Duration::from_secs(5));
    for node in 0..NODES {
        world.set_demand(node, 20, 20);
    }
    assert_eq!(world.sum(), CAP, "all of it in use");
    (world.revision, world.cap) = (2, 7);
    for node in 0..NODES {
        world.apply_caps(node);
    }
    world.settle(options().hold.mul_f64(1.1));
    let sum = world.sum();
    assert!(sum <= 7, "{sum}");
    for node in 0..NODES {
        world.set_demand(node, 0, 20);
    }
    world.settle(Duration::from_secs(6));
    assert_eq!(world.sum(), 7, "the remainder is lent again");
}

#[test]
fn a_paused_lender_lends_nothing_until_reconfirmed() {
    let mut world = World::new();
    world.set_demand(0, 0, 100);
    world.settle(Duration::from_secs(5));
    world.time += options().lease;
    world.tick(0);
    assert_eq!(
        world.held(0),
        0,
        "its allotment may have been assigned to other entries"
    );
    world.in_flight.clear();
    world.settle(Duration::from_secs(5));
    assert_eq!(world.held(0), CAP, "confirmed again");
}

/// Returns a world whose only lender is entry 0, and an ask of entry 1 to it.
fn with_one_lender(wants: u32) -> (World, (usize, usize, Message)) {
    let mut world = World::new();
    (world.roster, world.revision) = (vec![name(0)], 2);
    for node in 0..NODES {
        world.apply_caps(node);
    }
    world.settle(Duration::from_secs(5));
    world.set_demand(1, 0, wants);
    world.tick(1);
    let ask = world.in_flight[0].clone();
    (world, ask)
}

#[test]
fn a_repeated_ask_does_not_lower_what_is_counted() {
    let (mut world, ask) = with_one_lender(CAP);
    world.deliver(0, false);
    world.deliver(0, false);
    assert_eq!(world.held(1), CAP);
    for node in [2, 3] {
        world.set_demand(node, 0, CAP);
        world.tick(node);
        world.deliver(0, false);
        world.deliver(0, false);
        world.in_flight = vec![ask.clone()];
        world.deliver(0, false);
        world.in_flight.clear();
        assert!(world.sum() <= CAP, "{}", world.sum());
    }
}

#[test]
fn a_grant_to_a_former_incarnation_is_ignored() {
    let (mut world, _) = with_one_lender(CAP);
    world.deliver(0, false);
    let grant = world.in_flight.remove(0);
    world.restart(1);
    world.set_demand(1, 0, CAP);
    world.tick(1);
    world.in_flight = vec![grant];
    world.deliver(0, false);
    assert_eq!(
        world.held(1),
        0,
        "the ask of this incarnation is not answered yet"
    );
}
