//! Returning callers are distinguished from first attempts by their stated time
//! budgets.
//!
//! In recorded traffic, first attempts on a route stated 85 to 100 in 100 of the longest
//! time budget, and callers that had been refused stated at most 0.78 of it.

use std::time::Duration;

use cactusnotch_gateway::Route;
use cactusnotch_gateway::route::RetryPolicy;
use cactusnotch_gateway::time_budget::TimeBudgets;

fn route(name: &str) -> Route {
    Route {
        name: name.to_owned(),
        host: "shop.example".to_owned(),
        prefix: "/".to_owned(),
        retry_policy: RetryPolicy::Resume,
        streaming: true,
        timeout: Duration::from_secs(8),
        target_latency: Duration::from_millis(400),
        max_event_gap: Some(Duration::from_millis(120)),
        priority: 0,
        max_attempts: 2,
        anonymous: false,
        allowed_regions: Vec::new(),
        backends: Vec::new(),
    }
}

#[test]
fn callers_that_come_back_are_known_by_the_time_they_have_left() {
    let mut budgets = TimeBudgets::default();
    let mut is_returning =
        |stated: u64| budgets.has_returned("r", Some(Duration::from_millis(stated)));
    // First attempts state 85 to 100 in 100 of the longest time budget.
    assert!(!is_returning(8_000));
    assert!(!is_returning(6_820));
    assert!(is_returning(6_200));
    assert!(is_returning(4_900));
    assert!(!is_returning(7_300));
}

#[test]
fn a_shorter_time_budget_is_learnt() {
    let mut budgets = TimeBudgets::default();
    let mut is_returning =
        |stated: u64| budgets.has_returned("r", Some(Duration::from_millis(stated)));
    assert!(!is_returning(8_000));
    assert!(is_returning(5_000));
    let first = (0..2_000).position(|_| !is_returning(5_000));
    assert!(
        first.is_some_and(|at| at < 1_000),
        "adapted after {first:?} requests"
    );
}

#[test]
fn callers_who_say_nothing_and_other_routes_count_as_first_attempts() {
    let mut budgets = TimeBudgets::default();
    budgets.has_returned("r", Some(Duration::from_secs(8)));
    assert!(!budgets.has_returned("r", None));
    assert!(!budgets.has_returned("s", Some(Duration::from_secs(2))));
}

#[test]
fn routes_that_are_gone_are_forgotten_and_others_kept() {
    let mut budgets = TimeBudgets::default();
    for name in ["r", "s"] {
        budgets.has_returned(name, Some(Duration::from_secs(8)));
    }
    budgets.retain_routes(&[route("s")]);
    assert!(!budgets.has_returned("r", Some(Duration::from_secs(5))));
    assert!(budgets.has_returned("s", Some(Duration::from_secs(5))));
}
