//! The conditions under which a process serves, and its reads of the platform.

mod common;

use std::time::Duration;

use cactusnotch_base::number::Sequence;
use cactusnotch_member::{Delta, Role};
use cactusnotch_objects::object::Version;
use cactusnotch_spread::{Message, Pong, Span, Standing, Summary};
use common::bench::{Bench, row};

fn pong(bench: &mut Bench, from: &str, held: u64, caught_up: bool) {
    let summary = Summary {
        held: Sequence(held),
        roster: Version(10),
        in_force: Sequence(0),
        caught_up,
        rumours: Vec::new(),
    };
    let pong = Pong {
        stamp: bench.stamp,
        summary,
        report: None,
    };
    bench.deliver(from, Message::Pong(pong));
}

fn span(after: u64, through: u64) -> Message {
    Message::Span(Span {
        after: Sequence(after),
        through: Sequence(through),
        version: Version(through),
        payload: vec![1].into(),
    })
}

/// Returns a head that was restarted while the platform is down, has waited out
/// the quarantine and holds the roster.
fn restarted() -> Bench {
    let mut bench = Bench::fresh(true);
    let delta = Delta {
        after: Version(0),
        through: Version(10),
        rows: ["head", "b", "c", "d"]
            .map(|name| row(name, Role::Entry, 0, 10))
            .into(),
        removed: Vec::new(),
    };
    bench.deliver("b", Message::Delta(delta));
    bench.wait(Duration::from_secs(20));
    bench
}

#[test]
fn answers_of_peers_that_have_not_caught_up_do_not_count() {
    let mut bench = restarted();
    for _ in 0..3 {
        bench.wait(Duration::from_secs(1));
        pong(&mut bench, "b", 0, true);
        pong(&mut bench, "c", 0, false);
        pong(&mut bench, "d", 0, false);
    }
    assert_eq!(bench.node.standing(bench.now), Standing::Joining);
    pong(&mut bench, "c", 0, true);
    assert_eq!(bench.node.standing(bench.now), Standing::Serving);
}

#[test]
fn a_process_waits_until_it_holds_the_newest_that_its_peers_hold() {
    let mut bench = restarted();
    pong(&mut bench, "b", 1, true);
    pong(&mut bench, "c", 2, true);
    bench.deliver("b", span(0, 1));
    assert_eq!(bench.node.standing(bench.now), Standing::Joining);
    bench.deliver("c", span(1, 2));
    assert_eq!(bench.node.standing(bench.now), Standing::Serving);
}

#[test]
fn answers_from_before_an_isolation_do_not_count() {
    let mut bench = restarted();
    pong(&mut bench, "b", 0, true);
    pong(&mut bench, "c", 0, true);
    assert_eq!(bench.node.standing(bench.now), Standing::Serving);
    bench.wait(Duration::from_secs(16));
    assert_eq!(bench.node.standing(bench.now), Standing::Isolated);
    bench.deliver("d", Message::Relay("b".into()));
    bench.wait(Duration::from_secs(10));
    assert_eq!(bench.node.standing(bench.now), Standing::Joining);
}

#[test]
fn a_change_that_a_watch_skipped_is_read() {
    let mut bench = Bench::new();
    bench.wait(Duration::from_secs(2));
    // The watch omits the row of version 18.
    bench.answer_watch(Delta {
        after: Version(10),
        through: Version(20),
        rows: vec![row("b", Role::Agent, 1, 15)],
        removed: Vec::new(),
    });
    bench.wait(Duration::from_secs(1));
    bench.answer_read(Delta {
        after: Version(10),
        through: Version(21),
        rows: vec![row("b", Role::Agent, 1, 15), row("c", Role::Agent, 1, 18)],
        removed: Vec::new(),
    });
    assert!(bench.node.roster().get(&"c".into()).is_some());
}
