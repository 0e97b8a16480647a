//! What an entry or a lease believes, on a host that was suspended between two looks.
//!
//! Decisions are told the time by their callers; here it comes from the clock that callers
//! read, whose host sleeps for eight seconds.

use std::time::Duration;

use cactusnotch_base::clock::{self, Sleep};
use cactusnotch_gateway::budget::RetryBudgets;
use cactusnotch_gateway::content::{Fingerprint, Parts};
use cactusnotch_gateway::freshness::Freshness;
use cactusnotch_gateway::outage::Outage;
use cactusnotch_gateway::peer::Entry;
use cactusnotch_gateway::peers::Peers;
use cactusnotch_gateway::polls::Polls;
use cactusnotch_gateway::quarantine::{QUARANTINE_TIME, Quarantine};
use http::Method;

const SLEPT: Duration = Duration::from_secs(8);

/// Has the host of this thread sleep between `before` and what follows.
fn sleep_after<T>(before: impl FnOnce() -> T) -> T {
    let sleep = Sleep::default();
    sleep.set();
    let known = before();
    sleep.pass(SLEPT);
    known
}

#[test]
fn a_proof_of_keys_is_too_old() {
    let bound = Some(Duration::from_secs(5));
    let proof = sleep_after(|| {
        let mut proof = Freshness::new(bound);
        proof.renew(clock::now());
        assert!(proof.holds(clock::now()));
        proof
    });
    assert!(!proof.holds(clock::now()));
}

#[test]
fn an_answer_to_a_question_from_before_proves_what_held_then() {
    let (mut questions, mut proof) = (Polls::default(), Freshness::new(Some(SLEPT)));
    let round = sleep_after(|| questions.begin(clock::now()));
    let proved = questions.confirmed_at(round, Duration::from_millis(20));
    proof.renew(proved.expect("it was asked"));
    assert!(!proof.holds(clock::now()));
}

#[test]
fn an_entry_that_was_heard_is_silent() {
    let address = "127.0.0.1:7340".parse().expect("an address");
    let mut peers = Peers::new("edge-1", "a");
    sleep_after(|| {
        peers.insert(Entry {
            host: "edge-0".to_owned(),
            data_centre: "a".to_owned(),
            listen: address,
            peers: address,
        });
        peers.record_state(address, true, clock::now());
        assert_eq!(peers.ready_before(clock::now()), 1);
    });
    assert_eq!(peers.ready_before(clock::now()), 0);
}

#[test]
fn the_stores_return_is_long_ago() {
    let mut outage = Outage::default();
    sleep_after(|| {
        outage.end(clock::now());
        assert!(outage.kept_until(clock::now()).is_some());
    });
    assert_eq!(outage.kept_until(clock::now()), None);
    assert!(outage.ended_ago(clock::now()) >= Some(SLEPT));
}

#[test]
fn requests_from_before_pay_for_no_repeats() {
    let window = SLEPT / 2;
    let mut budgets = RetryBudgets::new(1.0, window);
    sleep_after(|| {
        (0..10).for_each(|_| budgets.record_request("svc", clock::now()));
        assert!(budgets.can_retry("svc", clock::now()));
    });
    assert!(!budgets.can_retry("svc", clock::now()));
}

#[test]
fn a_hold_has_less_time_left() {
    let content = Fingerprint::of(&Parts {
        organisation: None,
        method: &Method::GET,
        host: b"shop.example",
        target: "/",
        body: b"",
    });
    let mut quarantine = Quarantine::default();
    sleep_after(|| quarantine.add(content, QUARANTINE_TIME, clock::now()));
    let left = quarantine.time_left(content, clock::now());
    assert!(left <= QUARANTINE_TIME.checked_sub(SLEPT));
}
