//! Explores all event orders of small groups, breadth first and with a bounded
//! number of faults, on the production state machines.

mod explorer;
mod world;

use std::time::Duration;

use cactusnotch_base::clock;
use cactusnotch_switch::{Options, coordinator};
use explorer::{AFTER_LEASE, ALL, Faults, MIXED, STATE_LOSS, explore};
use world::{Packet, World};

fn options() -> Options {
    Options {
        lead: 0,
        repeats: 0,
        ..Options::default()
    }
}

/// A group at its second step whose coordinator has begun a switch.
fn preparing(size: u16, options: Options) -> World {
    let mut world = World::new(size, options, clock::now());
    world.start_group(1);
    let first = world.start_coordinator(options);
    world.run_until_quiescent();
    world.coordinator(first, coordinator::Event::SwitchTo { digest: 1 });
    world.cap = 3;
    world
}

/// A group whose coordinator is about to propose.
fn proposing(size: u16, options: Options) -> World {
    let mut world = preparing(size, options);
    while !is_proposed(&world) {
        let packet = world.net.remove(0);
        world.deliver(packet.get().clone());
    }
    world.cap = 3;
    world
}

fn is_proposed(world: &World) -> bool {
    use cactusnotch_switch::message::Body;
    world.net.iter().any(|packet| match packet.get() {
        Packet::Message(_, _, message) => {
            matches!(message.body, Body::Propose(_))
        }
        _ => false,
    })
}

/// A group whose ranks have all promised and whose coordinator announces the
/// outcome.
fn deciding(size: u16) -> World {
    let mut world = proposing(size, options());
    world.cap = 1;
    while !is_decided(&world) {
        let packet = world.net.remove(0);
        world.deliver(packet.get().clone());
    }
    world.cap = 3;
    world
}

fn is_decided(world: &World) -> bool {
    use cactusnotch_switch::message::Body;
    world.net.iter().any(|packet| match packet.get() {
        Packet::Message(_, _, message) => matches!(message.body, Body::Outcome { .. }),
        _ => false,
    })
}

/// A proposing group with a second coordinator, which acquired the lease while
/// the first was paused, and whose `Prepare` messages are in flight.
fn contending(size: u16) -> World {
    let mut world = proposing(size, options());
    let delayed = std::mem::take(&mut world.net);
    world.cap = 1;
    let second = world.start_coordinator(options());
    world.run_until_quiescent();
    world.now += options().lease;
    world.coordinator(second, coordinator::Event::Wake);
    world.run_until_quiescent();
    world.coordinator(second, coordinator::Event::SwitchTo { digest: 2 });
    for _ in 0..2 {
        let packet = world.net.remove(0);
        world.deliver(packet.get().clone());
    }
    world.net.extend(delayed);
    world.cap = 3;
    world
}

const NONE: Faults = Faults {
    losses: 0,
    duplicates: 0,
    wakes: 0,
    replacements: 0,
};

#[test]
fn two_ranks_with_loss_and_duplicates() {
    let faults = Faults {
        losses: 1,
        duplicates: 1,
        ..NONE
    };
    explore(
        "2 ranks, 1 loss, 1 duplicate",
        preparing(2, options()),
        faults,
        ALL,
        4,
    );
}

#[test]
fn two_ranks_wake_early() {
    let faults = Faults { wakes: 2, ..NONE };
    explore(
        "2 ranks, 2 early wakes",
        proposing(2, options()),
        faults,
        ALL,
        1,
    );
}

#[test]
fn two_ranks_are_replaced_while_voting() {
    let faults = Faults {
        replacements: 1,
        ..NONE
    };
    explore(
        "2 ranks voting, 1 replacement",
        proposing(2, options()),
        faults,
        ALL,
        1,
    );
}

#[test]
fn two_ranks_are_replaced_twice_while_deciding() {
    let faults = Faults {
        replacements: 2,
        ..NONE
    };
    let mut world = deciding(2);
    world.immediate_platform = true;
    explore("2 ranks deciding, 2 replacements", world, faults, MIXED, 8);
}

#[test]
fn two_ranks_with_two_coordinators() {
    let faults = NONE;
    explore("2 ranks, 2 coordinators", contending(2), faults, ALL, 1);
}

#[test]
fn two_ranks_whose_engines_ignore_fencing() {
    let orders = cactusnotch_order::Options {
        fencing: cactusnotch_order::Fencing::Ignored,
        lease: Duration::ZERO,
        ..cactusnotch_order::Options::default()
    };
    let options = Options {
        orders,
        ..options()
    };
    let faults = Faults {
        losses: 1,
        replacements: 1,
        ..NONE
    };
    let mut world = proposing(2, options);
    world.immediate_platform = true;
    explore("2 ranks, fencing ignored", world, faults, AFTER_LEASE, 8);
}

#[test]
fn three_ranks_with_loss() {
    let faults = Faults { losses: 1, ..NONE };
    explore("3 ranks, 1 loss", proposing(3, options()), faults, ALL, 8);
}

#[test]
fn three_ranks_are_replaced_while_deciding() {
    let faults = Faults {
        replacements: 1,
        ..NONE
    };
    let mut world = deciding(3);
    world.immediate_platform = true;
    explore("3 ranks deciding, 1 replacement", world, faults, ALL, 8);
}

#[test]
fn two_ranks_with_loss_and_replacement() {
    let faults = Faults {
        losses: 1,
        replacements: 1,
        ..NONE
    };
    let mut world = proposing(2, options());
    world.immediate_platform = true;
    explore(
        "2 ranks, 1 loss, 1 replacement",
        world,
        faults,
        STATE_LOSS,
        8,
    );
}

#[test]
#[ignore = "takes minutes; the smaller cases above run each time"]
fn ranks_are_replaced_twice_with_every_kind() {
    let faults = Faults {
        replacements: 2,
        ..NONE
    };
    let mut world = deciding(2);
    world.immediate_platform = true;
    explore(
        "2 ranks deciding, 2 replacements of all kinds",
        world,
        faults,
        ALL,
        8,
    );
    let mut world = deciding(3);
    world.immediate_platform = true;
    let kinds = &STATE_LOSS[..1];
    explore("3 ranks deciding, 2 replacements", world, faults, kinds, 32);
}
