//! Random event orders of groups of 8 to 16 ranks, with several switches,
//! losses, duplicates, replacements and platform outages.

mod world;

use cactusnotch_base::clock;
use cactusnotch_switch::coordinator::{self, Ending};
use cactusnotch_switch::{Options, rank};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use world::World;

const EVENTS: usize = 8_000;
const REPLACEMENTS: usize = 4;
const MAX_ROUNDS: usize = 200;
const PROGRESS_STEPS: u64 = 10;

/// A random walk of a group.
struct Walk {
    world: World,
    random: StdRng,
    loss: f64,
    replacements: usize,
    digest: u64,
}

impl Walk {
    fn new(size: u16, loss: f64, seed: u64) -> Self {
        let options = Options {
            lead: 2,
            ..Options::default()
        };
        let mut world = World::new(size, options, clock::now());
        world.start_group(1);
        world.start_coordinator(options);
        world.run_until_quiescent();
        world.cap = u64::MAX;
        Self {
            world,
            random: StdRng::seed_from_u64(seed),
            loss,
            replacements: REPLACEMENTS,
            digest: 0,
        }
    }

    fn advance(&mut self) {
        match self.random.random_range(0..1_000) {
            0..800 => self.deliver(),
            800..960 => self.step(),
            960..994 => self.wake(),
            994..996 => self.world.platform_available = !self.world.platform_available,
            996..997 => self.replace(),
            _ => self.request_switch(),
        }
    }

    fn deliver(&mut self) {
        if self.world.net.is_empty() {
            return;
        }
        let at = self.random.random_range(0..self.world.net.len());
        let packet = if self.random.random_bool(self.loss) {
            self.world.net[at].clone()
        } else {
            self.world.net.swap_remove(at)
        };
        if !self.random.random_bool(self.loss) {
            self.world.deliver(packet.get().clone());
        }
    }

    fn step(&mut self) {
        let rank = self.random.random_range(0..self.world.engines.len());
        if self.world.can_start(rank) {
            self.world.start_step(rank);
        }
    }

    fn wake(&mut self) {
        let agent = self.random.random_range(0..=self.world.agents.len());
        if agent == self.world.agents.len() {
            self.world.coordinator(0, coordinator::Event::Wake);
        } else {
            self.world.agent(agent, rank::Event::Wake);
        }
    }

    fn replace(&mut self) {
        if self.replacements == 0 {
            return;
        }
        self.replacements -= 1;
        let rank = self.random.random_range(0..self.world.engines.len());
        let loses_engine = self.random.random_bool(0.5);
        if loses_engine {
            self.world.replace_engine(rank);
        }
        let paused = self.random.random_bool(0.5);
        self.world.replace_agent(rank, paused);
    }

    fn request_switch(&mut self) {
        if self.world.coordinators[0].get().is_idle() {
            self.digest += 1;
            let digest = self.digest;
            self.world
                .coordinator(0, coordinator::Event::SwitchTo { digest });
        }
    }

    /// Runs the group without faults until all ranks have progressed, and until
    /// switches decided for a later step are in force.
    fn finish(&mut self) -> bool {
        self.world.platform_available = true;
        let steps = |world: &World| {
            let steps = world.engines.iter().map(|engine| engine.get().state.next.0);
            steps.max().unwrap_or_default()
        };
        let goal = steps(&self.world) + PROGRESS_STEPS;
        self.world.cap = goal;
        for _ in 0..MAX_ROUNDS {
            self.world.run_until_quiescent();
            if self.world.violation.is_some() {
                return false;
            }
            let past = steps(&self.world) > goal;
            if past && self.world.is_past_cap() && self.world.is_settled() {
                return true;
            }
            self.world.wake_all();
            self.world.cap += 1;
        }
        false
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 3_000,
        rng_seed: RngSeed::Fixed(6),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// The ranks use one map in every step and make progress once faults have
    /// stopped.
    #[test]
    fn larger_groups_agree_and_make_progress(size in 8_u16..=16, loss in 0.0..0.1, seed: u64) {
        let mut walk = Walk::new(size, loss, seed);
        for _ in 0..EVENTS {
            walk.advance();
            prop_assert_eq!(&walk.world.violation, &None);
        }
        prop_assert!(walk.finish(), "stands still, or {:?}", walk.world.violation);
    }
}

/// Walks without loss apply switches, which shows that the property above is not
/// vacuous.
#[test]
fn walks_without_loss_switch() {
    let mut applied = 0;
    for seed in 0..10 {
        let mut walk = Walk::new(8, 0.0, seed);
        walk.replacements = 0;
        for _ in 0..EVENTS {
            walk.advance();
        }
        assert!(walk.finish(), "the group goes on");
        let endings = walk.world.endings.iter();
        applied += endings
            .filter(|ending| matches!(ending, Ending::Applied(..)))
            .count();
    }
    println!("{applied} switches applied in 10 walks");
    assert!(applied >= 20, "a walk has a switch or more");
}
