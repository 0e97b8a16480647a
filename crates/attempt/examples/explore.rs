//! Searches the model of the tests under each pair of faults, with more states
//! than the tests visit.
//!
//! `cargo run --release -p cactusnotch-attempt --example explore -- 200000`
//!
//! The number is the maximum of visited states per search.

#[path = "../tests/explore/actions.rs"]
mod actions;
#[path = "../tests/explore/drive.rs"]
mod drive;
#[path = "../tests/explore/promises.rs"]
mod promises;
#[path = "../tests/explore/search.rs"]
mod search;
#[path = "../tests/explore/setup.rs"]
mod setup;
#[path = "../tests/explore/world.rs"]
mod world;

use cactusnotch_ledger::message::Repeat;
use search::explore;
use setup::{Faults, KINDS, Setup};
use world::World;

/// The default maximum of visited states per search.
const STATES: usize = 200_000;

fn main() {
    let argument = std::env::args().nth(1);
    let limit = argument
        .and_then(|text| text.parse().ok())
        .unwrap_or(STATES);
    let mut total = 0;
    println!(
        "mode    faults                          states depth complete   whole not-run unknown"
    );
    for ticket in [false, true] {
        for (first, (one, allow_one)) in KINDS.iter().enumerate() {
            for (two, allow_two) in &KINDS[first..] {
                let mut faults = Faults {
                    advances: 2,
                    ..Faults::default()
                };
                allow_one(&mut faults);
                allow_two(&mut faults);
                total += search(ticket, &format!("{one}, {two}"), faults, limit);
            }
        }
    }
    println!("{total} states in total, no guarantee violated");
}

fn search(ticket: bool, name: &str, faults: Faults, limit: usize) -> usize {
    let setup = Setup {
        ticket,
        repeat: Repeat::Once,
        pieces: 0,
        faults,
        conditional: true,
    };
    let report = explore(World::new(setup), limit);
    println!(
        "{:<7} {name:<28} {:>9} {:>5} {:>8} {:>7} {:>7} {:>7}",
        if ticket { "ticket" } else { "claim" },
        report.visited,
        report.depth,
        report.complete,
        report.whole,
        report.not_run,
        report.unknown,
    );
    report.visited
}
