//! The next step after failed sends, over all short sequences of failures.

use std::time::Duration;

use cactusnotch_gateway::decide::{Failure, Lifecycle, Next};
use cactusnotch_gateway::refusal::{RETRY_AFTER, Refusal};
use cactusnotch_gateway::route::RetryPolicy;

const FAILURES: [Failure; 3] = [Failure::Unsent, Failure::Refused, Failure::Uncertain];
const RETRY_POLICIES: [RetryPolicy; 3] = [
    RetryPolicy::Never,
    RetryPolicy::Idempotent,
    RetryPolicy::Resume,
];
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
    for retry_policy in RETRY_POLICIES {
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

/// Guards against a failed connection that takes back the count of an earlier send.
#[test]
fn a_failed_connection_extends_no_attempts() {
    let mut lifecycle = Lifecycle::new(RetryPolicy::Idempotent, 2);
    lifecycle.record_send();
    assert_eq!(
        lifecycle.after_failure(Failure::Uncertain, || true),
        Next::Repeat
    );
    for _ in 0..2 {
        // No connection is made, and nothing is sent.
        assert_eq!(
            lifecycle.after_failure(Failure::Unsent, || true),
            Next::Redirect
        );
        assert_eq!(lifecycle.sent(), 1);
    }
    lifecycle.record_send();
    assert_eq!(
        lifecycle.after_failure(Failure::Uncertain, || true),
        Next::Give(Refusal::Lost)
    );
}

/// Guards against a promise that a request has not run while a send is open: it holds at each
/// moment of a request, whatever is awaited then and whatever refusal interrupts it.
#[test]
fn no_refusal_at_any_moment_promises_what_is_not_proved() {
    for retry_policy in RETRY_POLICIES {
        for max_attempts in 1..4 {
            let mut open = vec![(Lifecycle::new(retry_policy, max_attempts), Vec::new())];
            while let Some((lifecycle, history)) = open.pop() {
                check_promises(&lifecycle, &history, None);
                let mut sent = lifecycle;
                sent.record_send();
                check_promises(&sent, &history, Some("open"));
                for failure in FAILURES {
                    let mut lifecycle = sent;
                    let next = lifecycle.after_failure(failure, || true);
                    let history: Vec<_> = history.iter().copied().chain([failure]).collect();
                    check_promises(&lifecycle, &history, None);
                    if !matches!(next, Next::Give(_)) {
                        open.push((lifecycle, history));
                    }
                }
            }
        }
    }
}

/// Checks what a caller is told if the request ends now, after sends that ended so and with
/// the last one open.
fn check_promises(lifecycle: &Lifecycle, history: &[Failure], last: Option<&str>) {
    let is_proved = last.is_none() && !history.contains(&Failure::Uncertain);
    let interruptions = [
        Refusal::SlowBody,
        Refusal::NotFresh,
        Refusal::Unconfirmed {
            wait: Duration::ZERO,
        },
        Refusal::NotRun,
        Refusal::Busy,
        Refusal::Throttled {
            wait: Duration::ZERO,
        },
        Refusal::NoMemory,
        Refusal::Held,
        Refusal::Stopping,
    ];
    let interrupted = interruptions.map(|refusal| lifecycle.checked(refusal));
    let answers = [lifecycle.timed_out(), lifecycle.exhausted()];
    for answer in interrupted.into_iter().chain(answers) {
        assert_eq!(
            answer.is_retryable(),
            is_proved,
            "{answer} after {history:?}, last send {last:?}"
        );
    }
}

#[test]
fn a_deadline_promises_nothing_while_an_endpoint_may_be_at_work() {
    let mut lifecycle = Lifecycle::new(RetryPolicy::Never, 1);
    assert!(lifecycle.timed_out().is_retryable());
    lifecycle.record_send();
    assert!(!lifecycle.timed_out().is_retryable());
}

/// Guards against callers that return while a lasting overload still refuses them, and against
/// ones that return together.
#[test]
fn a_refused_caller_returns_after_the_recovery_time() {
    let ms = Duration::from_millis;
    let after = |left, draw| Refusal::Busy.retry_after(ms(left), draw);
    assert_eq!(after(8_000, 1.0), ms(2_240), "0.28 of what is left");
    assert_eq!(after(8_000, 0.0), ms(1_680), "spread by chance");
    assert_eq!(after(60_000, 1.0), ms(2_400), "the longest");
    assert_eq!(after(100, 1.0), RETRY_AFTER, "the shortest");
    let stopping = Refusal::Stopping.retry_after(ms(8_000), 1.0);
    assert_eq!(stopping, RETRY_AFTER, "another entry serves at once");
}
