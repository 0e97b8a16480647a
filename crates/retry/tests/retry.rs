//! Tests of budgets, deadlines and hedging through the public API.

use std::time::Duration;

use cactusnotch_base::Outcome;
use cactusnotch_base::clock::{self, Instant};
use cactusnotch_retry::deadline::Remaining;
use cactusnotch_retry::decision::Reason;
use cactusnotch_retry::hedge::Pending;
use cactusnotch_retry::retry::Failure;
use cactusnotch_retry::{Backoff, Deadline, Decision, Hedge, Options, Retry};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::SeedableRng;
use rand::rngs::StdRng;

const SECOND: Duration = Duration::from_secs(1);

fn failure(now: Instant) -> Failure {
    Failure {
        outcome: Outcome::Unknown,
        idempotent: true,
        response_started: false,
        attempts: 1,
        deadline: Deadline::received(Remaining::new(SECOND * 9), SECOND * 60, now),
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64,
        rng_seed: RngSeed::Fixed(4),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// If every attempt of every request fails, the number of retries remains a
    /// fraction of the number of requests.
    #[test]
    fn the_budget_bounds_the_attempts_in_a_full_outage(
        requests in 1_u32..3_000,
        outcomes in prop::collection::vec(any::<bool>(), 16),
        seed in any::<u64>(),
    ) {
        let options = Options::default();
        let (ratio, burst) = (options.ratio, options.burst);
        let mut retry = Retry::new(options);
        let rng = &mut StdRng::seed_from_u64(seed);
        let now = clock::now();
        let mut retries = 0_u32;
        for (_, ran) in (0..requests).zip(outcomes.iter().cycle()) {
            retry.record_request();
            let outcome = if *ran { Outcome::Unknown } else { Outcome::NotRun };
            let mut failure = Failure { outcome, ..failure(now) };
            while let Decision::Again(_) = retry.decide(&failure, now, rng) {
                failure.attempts += 1;
                retries += 1;
            }
        }
        let bound = ratio * f64::from(requests) + burst;
        prop_assert!(f64::from(retries) <= bound + 1e-6, "{retries} of {requests}");
    }

    /// For any limits, margins and delays of the hops, no hop gets more time than
    /// the previous hop has left.
    #[test]
    fn a_deadline_never_grows_over_hops(
        first in 0_u64..20_000,
        hops in prop::collection::vec((0_u64..20_000, 0_u64..500, 0_u64..2_000), 1..8),
    ) {
        let mut now = clock::now();
        let mut left = Remaining::new(Duration::from_millis(first));
        let end = now + left.get();
        for (most, margin, delay) in hops {
            let deadline = Deadline::received(left, Duration::from_millis(most), now);
            prop_assert!(deadline.at() <= end);
            now += Duration::from_millis(delay);
            let margin = Duration::from_millis(margin);
            let Some(next) = deadline.next_hop(margin, now) else {
                prop_assert!(deadline.left(now) <= margin);
                break;
            };
            prop_assert!(next.get() + margin <= left.get().saturating_sub(Duration::from_millis(delay)));
            prop_assert!(!next.get().is_zero());
            left = next;
        }
    }
}

#[test]
fn only_what_is_safe_and_in_time_is_tried_again() {
    let rng = &mut StdRng::seed_from_u64(1);
    let now = clock::now();
    let mut retry = Retry::new(Options::default());
    let base = failure(now);
    let unsafe_to_repeat = Failure {
        idempotent: false,
        ..base
    };
    let not_run = Failure {
        outcome: Outcome::NotRun,
        ..unsafe_to_repeat
    };
    let late = Deadline::received(Remaining::new(Duration::from_millis(5)), SECOND, now);
    let give_up = |reason| Decision::GiveUp(reason);
    let cases = [
        (unsafe_to_repeat, give_up(Reason::Unsafe)),
        (
            Failure {
                response_started: true,
                ..base
            },
            give_up(Reason::Unsafe),
        ),
        (
            Failure {
                attempts: 3,
                ..base
            },
            give_up(Reason::Attempts),
        ),
        (
            Failure {
                deadline: late,
                ..base
            },
            give_up(Reason::Deadline),
        ),
        (not_run, Decision::Again(Duration::ZERO)),
    ];
    for (failure, expected) in cases {
        assert_eq!(retry.decide(&failure, now, rng), expected, "{failure:?}");
    }
    assert!(
        (retry.budget().tokens() - 9.0).abs() < 1e-9,
        "giving up takes no token"
    );
}

#[test]
fn delays_grow_to_a_bound_and_differ() {
    let rng = &mut StdRng::seed_from_u64(1);
    let backoff = Backoff::default();
    for attempt in 1..100 {
        let doubled = backoff.base.saturating_mul(1 << (attempt - 1).min(20));
        let delays: Vec<Duration> = (0..40).map(|_| backoff.delay(attempt, rng)).collect();
        let longest = doubled.min(backoff.max);
        assert!(delays.iter().all(|delay| *delay <= longest));
        let above = |part: Duration| delays.iter().filter(|delay| **delay > part).count();
        assert!((8..=32).contains(&above(longest / 2)), "{delays:?}");
    }
}

#[test]
fn hedging_is_for_idempotent_work_and_has_its_own_budget() {
    let mut hedge = Hedge::new(&Options::default());
    let started = clock::now();
    let pending = Pending {
        idempotent: true,
        hedged: false,
        started,
        latency_bound: SECOND / 2,
        deadline: failure(started).deadline,
    };
    let now = started + SECOND;
    assert!(
        !hedge.decide(&pending, started),
        "the latency bound has not passed"
    );
    assert!(!hedge.decide(
        &Pending {
            idempotent: false,
            ..pending
        },
        now
    ));
    assert!(!hedge.decide(
        &Pending {
            hedged: true,
            ..pending
        },
        now
    ));
    let mut hedged = 0;
    for _ in 0..1_000 {
        hedge.record_request();
        hedged += u32::from(hedge.decide(&pending, now));
    }
    assert!((20..=22).contains(&hedged), "{hedged} of 1000");
}
