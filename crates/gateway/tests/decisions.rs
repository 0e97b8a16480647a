//! The next step after failed sends, over all short sequences of failures.

use std::time::Duration;

use cactusnotch_gateway::decide::{Failure, Lifecycle, Next};
use cactusnotch_gateway::refusal::{RETRY_AFTER, Refusal};
use cactusnotch_gateway::route::RetryPolicy;

const FAILURES: [Failure; 3] = [Failure::Unsent, Failure::Refused, Failure::Uncertain];
/// The longest sequence that is tried, which exceeds all limits on attempts.
const LENGTH_MAX: usize = 7;

/// Visits all sequences of failures and passes the end of each to `check`.
fn walk(
    retry_policy: RetryPolicy,
    max_attempts: u32,
    affordable: bool,
    check: &impl Fn(&[Failure], Refusal),
) {
    let mut open = vec![(Lifecycle::new(retry_policy, max_attempts), Vec::new())];
    while let Some((lifecycle, history)) = open.pop() {
        assert!(
            history.len() <= LENGTH_MAX,
            "{retry_policy:?} continues after {history:?}"
        );
        for failure in FAILURES {
            let mut lifecycle = lifecycle;
            lifecycle.record_send();
            assert!(
                lifecycle.sent() <= max_attempts.max(1),
                "{retry_policy:?}: too many sends after {history:?}"
            );
            let mut history: Vec<Failure> = history.clone();
            history.push(failure);
            match lifecycle.after_failure(failure, || affordable) {
                Next::Give(refusal) => check(&history, refusal),
                Next::Repeat => {
                    let uncertain = history.contains(&Failure::Uncertain);
                    assert!(
                        !(uncertain && retry_policy == RetryPolicy::Never),
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
    for retry_policy in [
        RetryPolicy::Never,
        RetryPolicy::Idempotent,
        RetryPolicy::Resume,
    ] {
        for max_attempts in 1..4 {
            walk(retry_policy, max_attempts, true, &|history, refusal| {
                let uncertain = history.contains(&Failure::Uncertain);
                assert_eq!(
                    refusal.is_retryable(),
                    !uncertain,
                    "{retry_policy:?}: {history:?} ends in {refusal}"
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
    assert!(lifecycle.timed_out(false).is_retryable());
    lifecycle.record_send();
    assert!(!lifecycle.timed_out(true).is_retryable());
}

/// Guards against callers that return while the queue that refused them is still full, and
/// against ones that wait longer than without a queue.
#[test]
fn a_caller_refused_by_a_queue_returns_when_it_is_expected_to_be_empty() {
    let ms = Duration::from_millis;
    let after = |clear, draw| Refusal::Busy.retry_after_queue(ms(8_000), ms(clear), draw);
    assert_eq!(after(1_200, 1.0), ms(1_200));
    assert_eq!(after(1_200, 0.0), ms(900), "spread by chance");
    assert_eq!(after(0, 1.0), RETRY_AFTER);
    let without = Refusal::Busy.retry_after(ms(8_000), 1.0);
    assert_eq!(after(60_000, 1.0), without);
    let stopping = Refusal::Stopping.retry_after_queue(ms(8_000), ms(1_200), 1.0);
    assert_eq!(stopping, RETRY_AFTER, "another entry serves at once");
}
