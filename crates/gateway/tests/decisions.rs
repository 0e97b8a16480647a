//! What follows when endpoints do not answer, over all short courses.

use cactusnotch_gateway::decide::{Failure, Lifecycle, Next};
use cactusnotch_gateway::refusal::Refusal;
use cactusnotch_gateway::route::RetryPolicy;

const FAILURES: [Failure; 3] = [Failure::Unsent, Failure::Refused, Failure::Uncertain];
/// The longest course that is tried; it is beyond any bound on attempts here.
const LONGEST: usize = 7;

/// Walks all courses and checks each end with `check`.
fn walk(
    repeat: RetryPolicy,
    attempts: u32,
    affordable: bool,
    check: &impl Fn(&[Failure], Refusal),
) {
    let mut open = vec![(Lifecycle::new(repeat, attempts), Vec::new())];
    while let Some((lifecycle, history)) = open.pop() {
        assert!(
            history.len() <= LONGEST,
            "{repeat:?} goes on after {history:?}"
        );
        for failure in FAILURES {
            let mut lifecycle = lifecycle;
            lifecycle.record_send();
            assert!(
                lifecycle.sent() <= attempts.max(1),
                "{repeat:?}: too many sends after {history:?}"
            );
            let mut history: Vec<Failure> = history.clone();
            history.push(failure);
            match lifecycle.after_failure(failure, || affordable) {
                Next::Give(refusal) => check(&history, refusal),
                Next::Repeat => {
                    let doubt = history.contains(&Failure::Uncertain);
                    assert!(
                        !(doubt && repeat == RetryPolicy::Never),
                        "sent again after {history:?}"
                    );
                    assert!(affordable);
                    open.push((lifecycle, history));
                }
                Next::Redirect => {
                    assert_eq!(failure, Failure::Unsent);
                    open.push((lifecycle, history));
                }
            }
        }
    }
}

#[test]
fn not_run_is_said_only_if_no_send_is_in_doubt() {
    for repeat in [
        RetryPolicy::Never,
        RetryPolicy::Idempotent,
        RetryPolicy::Resume,
    ] {
        for attempts in 1..4 {
            walk(repeat, attempts, true, &|history, refusal| {
                let doubt = history.contains(&Failure::Uncertain);
                assert_eq!(
                    refusal.may_come_back(),
                    !doubt,
                    "{repeat:?}: {history:?} ends in {refusal}"
                );
            });
        }
    }
}

#[test]
fn nothing_is_repeated_without_a_budget() {
    walk(RetryPolicy::Idempotent, 3, false, &|history, _| {
        let sent = history
            .iter()
            .filter(|failure| **failure != Failure::Unsent)
            .count();
        assert!(sent <= 1, "{history:?}");
    });
}

#[test]
fn a_deadline_promises_nothing_while_an_endpoint_may_be_at_work() {
    let mut lifecycle = Lifecycle::new(RetryPolicy::Never, 1);
    assert!(lifecycle.timed_out(false).may_come_back());
    lifecycle.record_send();
    assert!(!lifecycle.timed_out(true).may_come_back());
}
