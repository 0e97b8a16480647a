//! Tests of back-offs that endpoints request from an entry.
//!
//! Cases: an endpoint that refuses all requests for seconds, one that requests back-offs of
//! different lengths repeatedly, and callers that all retry when a back-off ends.

use std::time::Duration;

use cactusnotch_base::clock::{self, Instant};
use cactusnotch_throttle::Backoffs;
use cactusnotch_throttle::backoffs::BACKOFF_MAX;

const ENDPOINT: &str = "i-1";

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// Sends a request unless it is withheld; returns whether it was sent.
fn send(backoffs: &mut Backoffs, now: Instant) -> bool {
    let withheld = backoffs.withheld(ENDPOINT);
    let may = !withheld.is_some_and(|withheld| withheld.is_active(now));
    if may {
        backoffs.record_send(ENDPOINT, now);
    }
    may
}

#[test]
fn the_longest_requested_backoff_applies() {
    let now = clock::now();
    let at = |time| now + seconds(time);
    // The time of a request, the requested back-off, and the newly granted one.
    let cases: [&[(f64, f64, Option<f64>)]; 6] = [
        &[(0.0, 3.0, Some(3.0))],
        &[(0.0, 3.0, Some(3.0)), (0.3, 1.0, None)],
        &[(0.0, 1.0, Some(1.0)), (0.3, 2.7, Some(2.7))],
        &[
            (0.0, 0.25, Some(0.25)),
            (0.2, 2.8, Some(2.8)),
            (0.3, 0.0, None),
        ],
        &[(0.0, 3.0, Some(3.0)), (0.0, 3.0, None)],
        &[(0.0, 3.0, Some(3.0)), (1.0, 0.5, None), (2.0, 1.0, None)],
    ];
    for case in cases {
        let mut backoffs = Backoffs::default();
        for &(time, requested, granted) in case {
            let backoff = backoffs.request(ENDPOINT, seconds(requested), at(time));
            assert_eq!(backoff, granted.map(seconds), "{case:?}");
        }
        assert!(!send(&mut backoffs, at(2.999)), "{case:?}");
        assert!(send(&mut backoffs, at(3.0)), "{case:?}");
    }
}

#[test]
fn neither_a_success_nor_a_refusal_without_a_time_ends_a_rest() {
    let now = clock::now();
    let at = |time| now + seconds(time);
    let mut backoffs = Backoffs::default();
    backoffs.request(ENDPOINT, seconds(3.0), at(0.0));
    // Responses to requests that were in flight when the back-off was requested.
    assert!(!backoffs.record_answer(ENDPOINT, now - seconds(0.2)));
    assert!(!backoffs.record_answer(ENDPOINT, at(2.9)));
    assert!(!send(&mut backoffs, at(2.9)));
}

#[test]
fn after_a_rest_one_request_shows_whether_it_is_over() {
    let now = clock::now();
    let at = |time| now + seconds(time);
    let mut backoffs = Backoffs::default();
    backoffs.request(ENDPOINT, seconds(3.0), at(0.0));
    assert!(send(&mut backoffs, at(3.1)));
    assert!(!send(&mut backoffs, at(3.1)), "the probe is in flight");
    // The probe is refused with another back-off.
    backoffs.request(ENDPOINT, seconds(2.0), at(3.2));
    assert!(!send(&mut backoffs, at(5.1)));
    assert!(send(&mut backoffs, at(5.3)));
    assert!(!send(&mut backoffs, at(5.9)));
    assert!(backoffs.record_answer(ENDPOINT, at(5.3)));
    assert!(send(&mut backoffs, at(5.9)) && send(&mut backoffs, at(5.9)));
    assert_eq!(backoffs.withheld(ENDPOINT), None);
}

#[test]
fn if_the_first_request_after_a_rest_gets_no_answer_another_follows() {
    let now = clock::now();
    let at = |time| now + seconds(time);
    let mut backoffs = Backoffs::default();
    backoffs.request(ENDPOINT, seconds(1.0), at(0.0));
    let sent = (0..40).filter(|step| send(&mut backoffs, at(f64::from(*step) / 10.0)));
    assert_eq!(sent.collect::<Vec<_>>(), [10, 20, 30]);
}

#[test]
fn excessive_backoffs_are_capped() {
    let now = clock::now();
    let mut backoffs = Backoffs::default();
    assert_eq!(
        backoffs.request(ENDPOINT, Duration::MAX, now),
        Some(BACKOFF_MAX)
    );
    assert!(!send(&mut backoffs, now + BACKOFF_MAX - seconds(1.0)));
    assert!(send(&mut backoffs, now + BACKOFF_MAX));
}

#[test]
fn rests_are_forgotten_a_minute_after_their_end() {
    let now = clock::now();
    let mut backoffs = Backoffs::default();
    backoffs.request(ENDPOINT, seconds(3.0), now);
    assert_eq!(backoffs.active(now + seconds(2.0)), 1);
    assert_eq!(backoffs.active(now + seconds(4.0)), 0);
    assert!(!backoffs.expire(now + seconds(62.0)));
    assert!(backoffs.expire(now + seconds(64.0)));
    assert_eq!(backoffs.withheld(ENDPOINT), None);
}
