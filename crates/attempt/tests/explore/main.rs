//! All paths of a small model over the decision code of `claim`, `ledger` and
//! `attempt`.
//!
//! Frames are delivered in any order. The number of faults of each kind and of
//! visited states is bounded, and each test prints its counts.

mod actions;
mod drive;
mod promises;
mod search;
mod setup;
mod world;

use cactusnotch_ledger::message::Repeat;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use search::{Report, explore};
use setup::{Faults, KINDS, Setup};
use world::World;

/// The maximum number of states visited by a search in a debug build.
const STATES: usize = 60_000;

/// A limit above the number of states of the model with one fault.
const ALL: usize = 1_000_000;

fn run(name: &str, ticket: bool, pieces: u64, faults: Faults) -> Report {
    search(name, ticket, pieces, faults, STATES)
}

fn search(name: &str, ticket: bool, pieces: u64, faults: Faults, limit: usize) -> Report {
    let setup = Setup {
        ticket,
        repeat: Repeat::Once,
        pieces,
        faults,
        conditional: true,
    };
    let report = explore(World::new(setup), limit);
    println!("{name}: {report:?}");
    report
}

#[test]
fn promises_hold_in_every_order_without_faults() {
    for ticket in [false, true] {
        let report = search("no faults", ticket, 0, Faults::default(), ALL);
        assert!(report.complete && report.whole > 0);
    }
}

#[test]
fn promises_hold_in_every_order_with_one_fault() {
    for (name, allow) in KINDS {
        for ticket in [false, true] {
            let mut faults = Faults {
                advances: u8::from(ticket),
                ..Faults::default()
            };
            allow(&mut faults);
            let report = search(name, ticket, 0, faults, ALL);
            assert!(report.complete && report.whole > 0);
        }
    }
}

#[test]
fn claims_hold_when_the_platform_fails() {
    let faults = Faults {
        platform: 2,
        advances: 2,
        ..Faults::default()
    };
    let report = run("platform", false, 0, faults);
    assert!(report.whole > 0 && report.not_run > 0 && report.held > 0);
}

#[test]
fn claims_hold_when_an_entry_is_killed() {
    let faults = Faults {
        killed_entries: 1,
        platform: 1,
        advances: 2,
        ..Faults::default()
    };
    let report = run("killed entry", false, 0, faults);
    assert!(report.whole > 0 && report.moved > 0);
}

#[test]
fn claims_hold_when_an_agent_restarts_with_an_empty_ledger() {
    let faults = Faults {
        killed_agents: 1,
        duplicated_frames: 1,
        advances: 2,
        ..Faults::default()
    };
    let report = run("replaced agent", false, 0, faults);
    assert!(report.whole > 0 && report.unknown > 0);
}

#[test]
fn claims_hold_when_frames_are_lost_and_doubled() {
    let faults = Faults {
        lost_frames: 1,
        duplicated_frames: 1,
        lost_links: 1,
        advances: 2,
        ..Faults::default()
    };
    let report = run("frames", false, 1, faults);
    assert!(report.whole > 0 && report.moved > 0);
}

#[test]
fn tickets_hold_when_agents_and_frames_fail() {
    let faults = Faults {
        killed_agents: 1,
        duplicated_frames: 1,
        lost_links: 1,
        drains: 1,
        advances: 2,
        ..Faults::default()
    };
    let report = run("tickets", true, 1, faults);
    assert!(report.whole > 0 && report.not_run > 0 && report.unknown > 0);
}

#[test]
fn answers_are_whole_whatever_the_order_of_pieces() {
    let faults = Faults {
        lost_links: 1,
        lost_frames: 1,
        advances: 1,
        ..Faults::default()
    };
    let report = run("pieces", true, 2, faults);
    assert!(report.whole > 0);
}

#[test]
#[should_panic(expected = "the key started more than once")]
fn a_platform_that_ignores_conditions_is_detected() {
    let setup = Setup {
        ticket: false,
        repeat: Repeat::Once,
        pieces: 0,
        faults: Faults::default(),
        conditional: false,
    };
    explore(World::new(setup), STATES);
}

/// Follows one path through the model, selected by `choices`, with faults of
/// all kinds, and checks every state on it.
fn walk(ticket: bool, repeat: Repeat, choices: &[u16]) -> Result<(), TestCaseError> {
    let faults = Faults {
        lost_frames: 2,
        duplicated_frames: 2,
        lost_links: 2,
        killed_entries: 1,
        killed_agents: 2,
        platform: 3,
        advances: 12,
        drains: 1,
    };
    let mut world = World::new(Setup {
        ticket,
        repeat,
        pieces: 2,
        faults,
        conditional: true,
    });
    let mut path = Vec::new();
    for choice in choices {
        let mut actions = world.actions();
        if actions.is_empty() {
            break;
        }
        let action = actions.swap_remove(usize::from(*choice) % actions.len());
        world.act(&action);
        path.push(action);
        world
            .check()
            .map_err(|broken| TestCaseError::fail(format!("{broken}\n{path:#?}")))?;
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 4000,
        rng_seed: RngSeed::Fixed(4),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn long_courses_with_all_faults_keep_the_promises(
        ticket: bool,
        idempotent: bool,
        choices in prop::collection::vec(any::<u16>(), 20..120),
    ) {
        let repeat = if idempotent { Repeat::Idempotent } else { Repeat::Once };
        walk(ticket, repeat, &choices)?;
    }
}
