//! The conditions under which a head confirms that a revision is in force.

mod common;

use std::time::Duration;

use cactusnotch_member::{Delta, Role};
use cactusnotch_objects::object::Version;
use common::bench::{Bench, row};

const EXPIRY: Duration = Duration::from_secs(16);
const SHORT: Duration = Duration::from_millis(1_500);

#[test]
fn an_acknowledgement_expires() {
    let mut bench = Bench::new();
    bench.wait(SHORT);
    bench.acknowledge(bench.stamp, 2);
    bench.wait(EXPIRY);
    bench.accept(5);
    assert_eq!(bench.in_force(), 0);
    bench.acknowledge(bench.stamp, 2);
    assert_eq!(bench.in_force(), 1);
}

#[test]
fn a_late_acknowledgement_counts_from_when_it_was_asked_for() {
    let mut bench = Bench::new();
    bench.wait(SHORT);
    let stamp = bench.stamp;
    bench.wait(EXPIRY);
    bench.accept(5);
    bench.acknowledge(stamp, 2);
    assert_eq!(bench.in_force(), 0);
}

#[test]
fn an_acknowledgement_of_an_earlier_incarnation_does_not_count() {
    let mut bench = Bench::new();
    bench.wait(SHORT);
    bench.accept(5);
    bench.acknowledge(bench.stamp, 1);
    assert_eq!(bench.in_force(), 0);
}

#[test]
fn a_revision_written_after_the_roster_was_read_waits_until_it_is_read_again() {
    let mut bench = Bench::new();
    bench.accept(20);
    bench.wait(SHORT);
    bench.acknowledge(bench.stamp, 2);
    assert_eq!(bench.in_force(), 0);
    // Another process joined before the revision was written.
    bench.answer_read(Delta {
        after: Version(10),
        through: Version(20),
        rows: vec![row("late", Role::Agent, 1, 15)],
        removed: Vec::new(),
    });
    bench.acknowledge(bench.stamp, 2);
    assert_eq!(bench.in_force(), 0);
}

#[test]
fn a_revision_is_in_force_once_the_roster_is_confirmed() {
    let mut bench = Bench::new();
    bench.accept(20);
    bench.wait(SHORT);
    bench.acknowledge(bench.stamp, 2);
    bench.answer_read(Delta {
        after: Version(10),
        through: Version(20),
        ..Delta::default()
    });
    assert_eq!(bench.in_force(), 1);
}
