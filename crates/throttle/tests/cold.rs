//! Tests of warm-up limits, which apply to all entries together.
//!
//! A data centre returns with all its endpoints warming up. They are the least loaded endpoints,
//! so every entry prefers them, with 13 to 1,000 entries.

use std::time::Duration;

use cactusnotch_base::clock::{self, Instant};
use cactusnotch_throttle::warmups::TOLERANCE;
use cactusnotch_throttle::{Allotment, Rate, Warmups};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const SIZES: [usize; 6] = [1, 13, 72, 149, 380, 1_000];
const RATES: [f64; 6] = [0.0, 1.0, 2.5, 5.0, 14.0, 40.0];
const SECOND: Duration = Duration::from_secs(1);
const ENDPOINT: &str = "i-1";

fn rate(per_second: f64) -> Rate {
    Rate::new(per_second).expect("a valid rate")
}

fn hosts(entries: usize) -> Vec<String> {
    (0..entries).map(|at| format!("edge-{at}")).collect()
}

fn table(host: &str, entries: &[String], now: Instant) -> Warmups {
    let mut warmups = Warmups::new(TOLERANCE, host);
    let entries: Vec<_> = entries.iter().map(String::as_str).collect();
    warmups.set_entries(&entries, now);
    warmups
}

/// Sends a request unless it is withheld; returns whether it was sent.
fn send(warmups: &mut Warmups, now: Instant) -> bool {
    let withheld = warmups.withheld(ENDPOINT);
    let may = !withheld.is_some_and(|withheld| withheld.is_active(now));
    if may {
        warmups.record_send(ENDPOINT, now);
    }
    may
}

/// Returns the maximum number of the sorted times within any second.
fn max_per_second(times: &[Instant]) -> usize {
    let within = |(first, at): (usize, &Instant)| {
        times[first..].partition_point(|other| other.saturating_duration_since(*at) < SECOND)
    };
    times.iter().enumerate().map(within).max().unwrap_or(0)
}

#[test]
fn entries_together_stay_within_what_a_cold_endpoint_bears() {
    for entries in SIZES {
        let hosts = hosts(entries);
        for per_second in RATES {
            let start = clock::now();
            let mut rng = StdRng::seed_from_u64(7);
            let mut tables: Vec<_> = hosts
                .iter()
                .map(|host| table(host, &hosts, start))
                .collect();
            // Each entry receives the endpoint's state at a different time.
            let received: Vec<_> = hosts
                .iter()
                .map(|_| start + SECOND.mul_f64(0.3 * rng.random::<f64>()))
                .collect();
            let mut sent = Vec::new();
            for millis in 0..5_000 {
                let now = start + Duration::from_millis(millis);
                for (warmups, received) in tables.iter_mut().zip(&received) {
                    if now >= *received && warmups.is_empty() {
                        warmups.begin(ENDPOINT, 5 * SECOND, rate(per_second), now);
                    }
                    if now >= *received && send(warmups, now) {
                        sent.push(now);
                    }
                }
            }
            let tolerated = TOLERANCE.max_requests(rate(per_second));
            let most = u32::try_from(max_per_second(&sent)).expect("fewer than 2^32 requests");
            assert!(
                f64::from(most) <= tolerated,
                "{entries} entries, {per_second}/s: {most} in a second, {tolerated} tolerated"
            );
            let expected = per_second * 5.0 * 0.6;
            let total = u32::try_from(sent.len()).expect("fewer than 2^32 requests");
            assert!(
                f64::from(total) >= expected.floor(),
                "{entries} entries, {per_second}/s: only {total} sent"
            );
        }
    }
}

#[test]
fn the_holders_and_two_more_stay_within_it_however_their_requests_coincide() {
    for entries in SIZES {
        let hosts = hosts(entries);
        for per_second in RATES.into_iter().filter(|rate| *rate > 0.0) {
            let allotment = |host: &String| {
                Allotment::with_tolerance(TOLERANCE, host, &hosts, ENDPOINT, rate(per_second))
            };
            let holders: Vec<_> = hosts.iter().filter_map(allotment).collect();
            let holders: Vec<_> = holders
                .iter()
                .filter(|allotment| allotment.is_holder)
                .collect();
            let each = SECOND.as_secs_f64() / holders[0].interval.as_secs_f64();
            let count = u32::try_from(holders.len()).expect("fewer than 2^32 entries");
            let sum = f64::from(count + 2) * (each.floor() + 1.0);
            let is_single = entries == 1;
            assert!(
                is_single || sum <= TOLERANCE.max_requests(rate(per_second)),
                "{entries} entries, {per_second}/s: {sum}"
            );
        }
    }
}

#[test]
fn an_entry_that_does_not_know_the_others_sends_nothing() {
    let now = clock::now();
    let mut warmups = Warmups::new(TOLERANCE, "edge-0");
    assert!(warmups.begin(ENDPOINT, SECOND, rate(14.0), now));
    assert!(!send(&mut warmups, now + SECOND / 2));
}

#[test]
fn a_warmup_ends_on_expiry_or_explicitly() {
    let now = clock::now();
    let hosts = hosts(2);
    let mut warmups = table("edge-0", &hosts, now);
    assert!(warmups.begin(ENDPOINT, SECOND, rate(2.0), now));
    assert!(!warmups.begin(ENDPOINT, SECOND, rate(2.0), now + SECOND / 2));
    assert!(
        warmups.expire(now + SECOND).is_empty(),
        "the warm-up was extended"
    );
    assert_eq!(warmups.expire(now + 2 * SECOND), [ENDPOINT]);
    assert_eq!(warmups.withheld(ENDPOINT), None);
    assert!(warmups.begin(ENDPOINT, SECOND, rate(2.0), now + 3 * SECOND));
    assert!(warmups.end(ENDPOINT));
    assert_eq!(warmups.withheld(ENDPOINT), None);
    assert!(!warmups.end(ENDPOINT));
}

/// Guards against a limit that stays in force for ten minutes because its begin and its end were
/// read from the store in one answer, and thus at one instant.
#[test]
fn a_warmup_that_ends_at_the_instant_at_which_it_begins_limits_nothing() {
    let now = clock::now();
    let mut warmups = table("edge-0", &hosts(2), now);
    assert!(warmups.begin(ENDPOINT, 20 * SECOND, rate(2.0), now));
    assert!(warmups.end(ENDPOINT));
    assert_eq!(warmups.rate(ENDPOINT), None);
    assert_eq!(warmups.withheld(ENDPOINT), None);
    // The next warm-up is a new one.
    assert!(warmups.begin(ENDPOINT, SECOND, rate(2.0), now));
    assert_eq!(warmups.rate(ENDPOINT), Some(rate(2.0)));
}

#[test]
fn an_excessive_warmup_is_capped() {
    let now = clock::now();
    let mut warmups = table("edge-0", &hosts(1), now);
    warmups.begin(ENDPOINT, Duration::MAX, rate(2.0), now);
    assert_eq!(warmups.expire(now + Duration::from_hours(1)), [ENDPOINT]);
}
