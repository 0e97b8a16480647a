//! Revisions under packet loss, partitions, restarts, pauses and outages.

mod common;

use cactusnotch_base::number::Sequence;
use cactusnotch_spread::{Node, Options, Standing};
use common::{Network, SECOND, Shape, World};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::Rng;

const SHAPE: Shape = Shape {
    regions: 2,
    data_centres: 3,
    entries: 6,
    agents: 9,
};

/// Invariants that are checked throughout a run.
#[derive(Default)]
struct Checks {
    confirmed: Sequence,
    last_held: Vec<(u64, Sequence)>,
}

impl Checks {
    fn new() -> Self {
        Self {
            confirmed: Sequence(0),
            last_held: vec![(0, Sequence(0)); SHAPE.entries + SHAPE.agents],
        }
    }

    /// Checks that every serving process holds each revision reported to be in
    /// force, and that no process reverts to an earlier revision.
    fn check(&mut self, world: &World) -> Result<(), TestCaseError> {
        for slot in &world.slots {
            let confirmed = slot.node.as_ref().map(Node::in_force);
            self.confirmed = self.confirmed.max(confirmed.unwrap_or_default());
        }
        for (at, slot) in world.slots.iter().enumerate() {
            let Some(node) = &slot.node else { continue };
            let (instance, before) = self.last_held[at];
            let held = node.held();
            prop_assert!(
                instance != slot.instance || held >= before,
                "{at} went back"
            );
            self.last_held[at] = (slot.instance, held);
            let order = slot.applied.iter().map(|span| span.through);
            prop_assert!(
                order.is_sorted_by(|a, b| a < b),
                "{at} applied out of order"
            );
            prop_assert_eq!(slot.applied.last().map_or(Sequence(0), |s| s.through), held);
            let serving = node.standing(world.instant()) == Standing::Serving;
            let listed = world.platform.members.contains(&slot.record.process);
            let running = slot.paused_until <= world.now;
            prop_assert!(
                !(serving && listed && running) || held >= self.confirmed,
                "{} serves {held} while {} is said to be in force, at {} us",
                slot.record.process,
                self.confirmed,
                world.now
            );
        }
        Ok(())
    }
}

fn started(seed: u64) -> World {
    let mut world = World::new(&SHAPE, Options::default(), seed);
    world.round_trip = true;
    for at in 0..world.slots.len() {
        world.start(at);
    }
    world
}

/// Injects or repairs a random fault, or writes a revision.
fn inject_fault(world: &mut World) {
    let count = world.slots.len();
    let at = world.rng.random_range(0..count);
    match world.rng.random_range(0..25) {
        0 => world.platform.down = true,
        1..3 => world.platform.down = false,
        3 => world.network.loss = [0.0, 0.05, 0.3][world.rng.random_range(0..3)],
        4 => world.network.late = [0.0, 0.1][world.rng.random_range(0..2)],
        5 => world.network.repeat = [0.0, 0.2][world.rng.random_range(0..2)],
        6 => cut(world),
        7..9 => world.network.side.fill(0),
        9 => world.network.side[at] = 7,
        10 => world.slots[at].paused_until = world.now + world.rng.random_range(1..30) * SECOND,
        11 => world.stop(at),
        12..15 => {
            // An immediate restart in place.
            world.stop(at);
            world.start(at);
        }
        15..17 => {
            for at in 0..count {
                if world.slots[at].node.is_none() {
                    world.start(at);
                }
            }
        }
        17 => world.platform.forgets = [0.0, 0.1][world.rng.random_range(0..2)],
        18 => world.platform.skips = [0.0, 0.3][world.rng.random_range(0..2)],
        _ => {
            let by = world.rng.random_bool(0.5).then_some(at);
            let by = by.filter(|at| world.slots[*at].paused_until <= world.now);
            world.edit(200, by);
        }
    }
}

fn cut(world: &mut World) {
    let by_region = world.rng.random_bool(0.5);
    for at in 0..world.slots.len() {
        let record = &world.slots[at].record;
        let name = if by_region {
            record.region.as_str()
        } else {
            record.data_centre.as_str()
        };
        world.network.side[at] = u8::from(name.ends_with('1'));
    }
}

fn repair(world: &mut World) {
    let side = vec![0; world.slots.len()];
    world.network = Network {
        side,
        ..Network::default()
    };
    world.platform.down = false;
    world.platform.forgets = 0.0;
    world.platform.skips = 0.0;
    for at in 0..world.slots.len() {
        world.slots[at].paused_until = 0;
        if world.slots[at].node.is_none() {
            world.start(at);
        }
    }
}

fn all_agree(world: &World) -> Result<(), TestCaseError> {
    let newest = world.platform.revisions.last();
    let newest = newest.map_or(Sequence(0), |span| span.through);
    for slot in &world.slots {
        let node = slot.node.as_ref().expect("all are up");
        let status = node.status(world.instant());
        prop_assert_eq!(
            status.standing,
            Standing::Serving,
            "{}",
            slot.record.process
        );
        prop_assert_eq!(status.held, newest, "{}", slot.record.process);
        prop_assert_eq!(status.in_force, newest, "{}", slot.record.process);
        prop_assert_eq!(status.lacking, 0, "{:?}", status.laggards);
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 24,
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        max_shrink_iters: 0,
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_process_reverts_and_no_unconfirmed_revision_is_reported_in_force(seed in any::<u64>()) {
        let mut world = started(seed);
        let mut checks = Checks::new();
        for _ in 0..160 {
            let next = world.now + world.rng.random_range(1..3 * SECOND);
            world.run(next, |world| checks.check(world))?;
            inject_fault(&mut world);
        }
        repair(&mut world);
        world.edit(200, None);
        let until = world.now + 60 * SECOND;
        world.run(until, |world| checks.check(world))?;
        all_agree(&world)?;
    }
}
