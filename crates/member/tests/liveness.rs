//! Suspicion, refutation and expiry.

use std::sync::Arc;
use std::time::Duration;

use cactusnotch_base::clock::{self, Instant};
use cactusnotch_base::name::Process;
use cactusnotch_base::number::Incarnation;
use cactusnotch_member::{
    Delta, Liveness, Options, Record, Role, Roster, Row, Rumour, State, Status,
};
use cactusnotch_objects::object::Version;

fn row(at: u64, incarnation: u64) -> Row {
    let record = Record {
        process: format!("agent-{at}").as_str().into(),
        role: Role::Agent,
        host: "host".into(),
        data_centre: "dc".into(),
        region: "region".into(),
        peers: ([10, 0, 0, 1], 7000).into(),
        callers: None,
        endpoint: None,
        incarnation: Incarnation(incarnation),
        state: State::Serving,
    };
    Row {
        record: Arc::new(record),
        version: Version(at + 1),
    }
}

fn roster(count: u64) -> Roster {
    let mut roster = Roster::default();
    let moved = roster.apply(&Delta {
        after: Version(0),
        through: Version(count),
        rows: (0..count).map(|at| row(at, 1)).collect(),
        removed: Vec::new(),
    });
    assert!(moved);
    roster
}

fn name(at: u64) -> Process {
    format!("agent-{at}").as_str().into()
}

fn view(at: u64) -> Liveness {
    Liveness::new(Options::default(), name(at), Incarnation(1))
}

/// Sends the rumours of `sender` to `receiver`, the process numbered `to`.
fn gossip(sender: &mut Liveness, receiver: &mut Liveness, to: u64, roster: &Roster, now: Instant) {
    for rumour in sender.rumours(&name(to)) {
        receiver.apply(&rumour, roster, now);
    }
}

#[test]
fn a_suspect_refutes_and_an_unresponsive_process_counts_as_dead() {
    let (roster, now) = (roster(8), clock::now());
    let (mut a, mut b) = (view(0), view(1));
    a.suspect(&name(1), Incarnation(1), now);
    a.suspect(&name(2), Incarnation(1), now);
    gossip(&mut a, &mut b, 1, &roster, now);
    assert_eq!(b.instance().refuted, 1);
    gossip(&mut b, &mut a, 0, &roster, now);
    let later = now + Duration::from_secs(4);
    a.tick(&roster, later);
    assert_eq!(a.status(&name(1)), Status::Alive);
    assert_eq!(a.status(&name(2)), Status::Dead);
}

#[test]
fn a_refutation_is_sent_again_to_a_peer_that_missed_it() {
    let (roster, now) = (roster(8), clock::now());
    let (mut informed, mut missed) = (view(0), view(1));
    let mut rumour = Rumour {
        process: name(2),
        instance: view(2).instance(),
        status: Status::Dead,
    };
    missed.apply(&rumour, &roster, now);
    rumour.instance.refuted = 1;
    rumour.status = Status::Alive;
    informed.apply(&rumour, &roster, now);
    // Both send their rumours until the transmissions are used up.
    for _ in 0..100 {
        informed.rumours(&name(5));
        missed.rumours(&name(6));
    }
    gossip(&mut missed, &mut informed, 0, &roster, now);
    gossip(&mut informed, &mut missed, 1, &roster, now);
    assert_eq!(missed.status(&name(2)), Status::Alive);
}

#[test]
fn the_dead_expire_after_long_and_never_too_many_at_once() {
    let (roster, now) = (roster(8), clock::now());
    let mut view = view(0);
    let dead = now + Duration::from_secs(4);
    let long = dead + Duration::from_mins(1);
    for at in 1..=2 {
        view.suspect(&name(at), Incarnation(1), now);
    }
    view.tick(&roster, dead);
    let soon = dead + Duration::from_secs(59);
    assert!(view.expired(&roster, |_| true, soon).is_empty());
    assert_eq!(view.expired(&roster, |_| true, long).len(), 2);
    view.suspect(&name(3), Incarnation(1), now);
    view.tick(&roster, dead);
    assert!(
        view.expired(&roster, |_| true, long).is_empty(),
        "an operator decides"
    );
}

#[test]
fn a_restarted_process_is_alive_again_once_the_roster_says_so() {
    let (mut roster, now) = (roster(8), clock::now());
    let mut view = view(0);
    view.suspect(&name(1), Incarnation(1), now);
    let later = now + Duration::from_secs(4);
    view.tick(&roster, later);
    let before = view.generation();
    let mut restarted = row(1, 2);
    restarted.version = Version(9);
    let moved = roster.apply(&Delta {
        after: Version(8),
        through: Version(9),
        rows: vec![restarted],
        removed: Vec::new(),
    });
    assert!(moved);
    view.tick(&roster, later);
    assert_eq!(view.status(&name(1)), Status::Alive);
    assert!(view.generation() > before);
}
