//! Callers that come back are told from first attempts by the time they have left.
//!
//! On played days first attempts on a route stated 85 to 100 in 100 of the longest
//! time, and callers that had been refused 0.78 of it or less.

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
    let mut comes = |stated: u64| budgets.has_returned("r", Some(Duration::from_millis(stated)));
    // First attempts state 85 to 100 in 100 of the longest wait.
    assert!(!comes(8_000));
    assert!(!comes(6_820));
    assert!(comes(6_200));
    assert!(comes(4_900));
    assert!(!comes(7_300));
}

#[test]
fn a_route_whose_callers_get_less_patient_learns_it() {
    let mut budgets = TimeBudgets::default();
    let mut comes = |stated: u64| budgets.has_returned("r", Some(Duration::from_millis(stated)));
    assert!(!comes(8_000));
    assert!(comes(5_000));
    let first = (0..2_000).position(|_| !comes(5_000));
    assert!(first.is_some_and(|at| at < 1_000), "learnt after {first:?}");
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
