//! The exchange of caps through the public API, over a network that loses,
//! repeats and reorders.

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

/// The entries and what is on the way between them.
struct World {
    nodes: Vec<Exchange>,
    bag: Vec<(usize, usize, Message)>,
    start: Instant,
    time: Duration,
    lives: u64,
    roster: Vec<Process>,
    cap: u32,
    revision: u64,
    taken: [u64; NODES],
    paused: [bool; NODES],
    most: u32,
}

impl World {
    fn new() -> Self {
        let start = clock::now();
        let node = |at| Exchange::new(name(at), Incarnation(0), options(), start);
        let mut world = Self {
            nodes: (0..NODES).map(node).collect(),
            bag: Vec::new(),
            start,
            time: Duration::ZERO,
            lives: 0,
            roster: (0..NODES).map(name).collect(),
            cap: CAP,
            revision: 1,
            taken: [0; NODES],
            paused: [false; NODES],
            most: 0,
        };
        for node in 0..NODES {
            world.take(node);
        }
        world
    }

    /// Returns a node's clock, which drifts from the others'.
    fn now(&self, node: usize) -> Instant {
        let drift = [1.0, 1.04, 0.96, 1.02, 0.98][node];
        self.start + self.time.mul_f64(drift)
    }

    fn take(&mut self, node: usize) {
        let caps = [(key(), self.cap)].into_iter().collect::<Table<_, _>>();
        self.nodes[node].set_caps(Revision(self.revision), &self.roster, caps);
        self.taken[node] = self.revision;
    }

    /// Confirms the newest revision that all entries have taken.
    fn confirm(&mut self, node: usize) {
        let all = self.taken.iter().min().copied().unwrap_or(0);
        let now = self.now(node);
        self.nodes[node].confirm(Revision(all), now);
    }

    fn restart(&mut self, node: usize) {
        self.lives += 1;
        let (incarnation, now) = (Incarnation(self.lives), self.now(node));
        self.nodes[node] = Exchange::new(name(node), incarnation, options(), now);
        self.take(node);
    }

    fn post(&mut self, from: usize, messages: Vec<(Process, Message)>) {
        for (to, message) in messages {
            let to = (0..NODES).find(|&node| name(node) == to).expect("known");
            self.bag.push((from, to, message));
        }
    }

    fn tick(&mut self, node: usize) {
        let now = self.now(node);
        let messages = self.nodes[node].tick(now);
        self.post(node, messages);
    }

    fn deliver(&mut self, at: usize, keep: bool) {
        if self.bag.is_empty() {
            return;
        }
        let at = at % self.bag.len();
        let (from, to, message) = self.bag[at].clone();
        if !keep {
            self.bag.swap_remove(at);
        }
        let now = self.now(to);
        let answers = self.nodes[to].receive(&name(from), &message, now);
        self.post(to, answers);
    }

    fn demand(&mut self, node: usize, used: u32, wanted: u32) {
        let now = self.now(node);
        let used = used.min(self.nodes[node].held(&key(), now));
        self.nodes[node].set_demand(&key(), used, wanted, now);
    }

    fn held(&self, node: usize) -> u32 {
        self.nodes[node].held(&key(), self.now(node))
    }

    fn sum(&mut self) -> u32 {
        let sum = (0..NODES).map(|node| self.held(node)).sum();
        self.most = self.most.max(sum);
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
            while !self.bag.is_empty() {
                self.deliver(0, false);
            }
            assert!(self.sum() <= self.cap.max(CAP));
        }
    }

    /// Runs the entries that are not paused for a while over a network that
    /// loses and repeats a tenth each; what is for paused ones stays on the
    /// way.
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
            while at < self.bag.len() {
                if self.paused[self.bag[at].1] || rng.random_bool(0.2) {
                    at += 1;
                } else if rng.random_bool(0.1) {
                    self.bag.swap_remove(at);
                } else {
                    self.deliver(at, rng.random_bool(0.1));
                }
            }
            assert!(self.sum() <= CAP, "{} in a round", self.sum());
        }
    }

    fn apply(&mut self, (op, node, number): (u8, usize, u16)) {
        let at = usize::from(number);
        match op {
            0..=4 => self.demand(node, u32::from(number % 9), u32::from(number % 40)),
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
                self.take(node);
            }
            30..=33 => self.take(node),
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

    /// Whatever is lost, repeated, late or restarted, and while the roster
    /// changes, the entries together hold no more than the cap.
    #[test]
    fn the_sum_of_slices_never_exceeds_the_cap(
        ops in prop::collection::vec((0_u8..39, 0..NODES, any::<u16>()), 20..200),
    ) {
        let mut world = World::new();
        for node in 0..NODES {
            world.demand(node, 0, 9);
        }
        world.settle(Duration::from_secs(5));
        for op in ops {
            world.apply(op);
            let sum = world.sum();
            prop_assert!(sum <= CAP, "{sum} after {op:?}");
        }
        prop_assert_eq!(world.most, CAP);
    }
}

#[test]
fn idle_capacity_is_borrowed_and_given_back() {
    let mut world = World::new();
    world.demand(0, 0, 100);
    world.settle(Duration::from_secs(5));
    assert_eq!(world.held(0), CAP, "the only busy entry gets all");
    world.demand(1, 0, 100);
    world.settle(Duration::from_secs(6));
    let held = [world.held(0), world.held(1)];
    assert!(held.iter().all(|&held| held >= CAP / 2 - 2), "{held:?}");
    world.demand(0, 0, 0);
    world.settle(Duration::from_secs(12));
    assert_eq!((world.held(0), world.held(1)), (0, CAP));
}

#[test]
fn what_a_dead_entry_held_comes_back_with_the_lease() {
    let mut world = World::new();
    world.demand(0, 0, 100);
    world.settle(Duration::from_secs(5));
    world.restart(0);
    world.demand(1, 0, 100);
    world.settle(Duration::from_millis(100));
    assert!(world.held(1) < CAP / 2, "it may still be in use");
    world.settle(Duration::from_secs(6));
    assert_eq!(world.held(1), CAP);
}

#[test]
fn a_cut_cap_is_in_force_a_hold_after_all_took_it() {
    let mut world = World::new();
    for node in 0..NODES {
        world.demand(node, 20, 20);
    }
    world.settle(Duration::from_secs(5));
    for node in 0..NODES {
        world.demand(node, 20, 20);
    }
    assert_eq!(world.sum(), CAP, "all of it in use");
    (world.revision, world.cap) = (2, 7);
    for node in 0..NODES {
        world.take(node);
    }
    world.settle(options().hold.mul_f64(1.1));
    let sum = world.sum();
    assert!(sum <= 7, "{sum}");
    for node in 0..NODES {
        world.demand(node, 0, 20);
    }
    world.settle(Duration::from_secs(6));
    assert_eq!(world.sum(), 7, "and the rest is lent again");
}

#[test]
fn a_paused_home_lends_nothing_until_it_is_confirmed_again() {
    let mut world = World::new();
    world.demand(0, 0, 100);
    world.settle(Duration::from_secs(5));
    world.time += options().lease;
    world.tick(0);
    assert_eq!(world.held(0), 0, "others may have got its part");
    world.bag.clear();
    world.settle(Duration::from_secs(5));
    assert_eq!(world.held(0), CAP, "confirmed again");
}

/// Returns a world whose only home is entry 0, and an ask of entry 1 to it.
fn with_one_home(wants: u32) -> (World, (usize, usize, Message)) {
    let mut world = World::new();
    (world.roster, world.revision) = (vec![name(0)], 2);
    for node in 0..NODES {
        world.take(node);
    }
    world.settle(Duration::from_secs(5));
    world.demand(1, 0, wants);
    world.tick(1);
    let ask = world.bag[0].clone();
    (world, ask)
}

#[test]
fn a_repeated_ask_does_not_lower_what_is_counted() {
    let (mut world, ask) = with_one_home(CAP);
    world.deliver(0, false);
    world.deliver(0, false);
    assert_eq!(world.held(1), CAP);
    for node in [2, 3] {
        world.demand(node, 0, CAP);
        world.tick(node);
        world.deliver(0, false);
        world.deliver(0, false);
        world.bag = vec![ask.clone()];
        world.deliver(0, false);
        world.bag.clear();
        assert!(world.sum() <= CAP, "{}", world.sum());
    }
}

#[test]
fn a_grant_to_a_former_life_is_not_taken() {
    let (mut world, _) = with_one_home(CAP);
    world.deliver(0, false);
    let grant = world.bag.remove(0);
    world.restart(1);
    world.demand(1, 0, CAP);
    world.tick(1);
    world.bag = vec![grant];
    world.deliver(0, false);
    assert_eq!(world.held(1), 0, "the ask of this life is not answered yet");
}
