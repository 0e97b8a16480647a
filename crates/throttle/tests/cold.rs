//! Endpoints that have started lately, and what all entries together may send them.
//!
//! Pattern: a data centre comes back cold at once while its endpoints are the idlest, so that
//! each entry prefers them, at 13 to 1,000 entries.

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
    Rate::new(per_second).expect("a rate")
}

fn hosts(entries: usize) -> Vec<String> {
    (0..entries).map(|at| format!("edge-{at}")).collect()
}

fn table(host: &str, entries: &[String], now: Instant) -> Warmups {
    let mut cold = Warmups::new(TOLERANCE, host);
    let entries: Vec<_> = entries.iter().map(String::as_str).collect();
    cold.set_entries(&entries, now);
    cold
}

/// Sends a request if the endpoint may have one; returns whether it may.
fn send(cold: &mut Warmups, now: Instant) -> bool {
    let withheld = cold.withheld(ENDPOINT);
    let may = !withheld.is_some_and(|withheld| withheld.is_active(now));
    if may {
        cold.record_send(ENDPOINT, now);
    }
    may
}

/// Returns the most of these sorted moments within a second.
fn most(times: &[Instant]) -> usize {
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
            // Each hears of it at another moment.
            let heard: Vec<_> = hosts
                .iter()
                .map(|_| start + SECOND.mul_f64(0.3 * rng.random::<f64>()))
                .collect();
            let mut sent = Vec::new();
            for millis in 0..5_000 {
                let now = start + Duration::from_millis(millis);
                for (cold, heard) in tables.iter_mut().zip(&heard) {
                    if now >= *heard && cold.is_empty() {
                        cold.begin(ENDPOINT, 5 * SECOND, rate(per_second), now);
                    }
                    if now >= *heard && send(cold, now) {
                        sent.push(now);
                    }
                }
            }
            let borne = TOLERANCE.max_requests(rate(per_second));
            let most = u32::try_from(most(&sent)).expect("a few thousand");
            assert!(
                f64::from(most) <= borne,
                "{entries} entries, {per_second}/s: {most} in a second, {borne} borne"
            );
            let expected = per_second * 5.0 * 0.6;
            let total = u32::try_from(sent.len()).expect("a few thousand");
            assert!(
                f64::from(total) >= expected.floor(),
                "{entries} entries, {per_second}/s: {total} of what it takes"
            );
        }
    }
}

#[test]
fn the_holders_and_two_more_stay_within_it_however_their_requests_coincide() {
    for entries in SIZES {
        let hosts = hosts(entries);
        for per_second in RATES.into_iter().filter(|rate| *rate > 0.0) {
            let part = |host: &String| {
                Allotment::with_tolerance(TOLERANCE, host, &hosts, ENDPOINT, rate(per_second))
            };
            let holders: Vec<_> = hosts.iter().filter_map(part).collect();
            let holders: Vec<_> = holders.iter().filter(|part| part.is_holder).collect();
            let each = SECOND.as_secs_f64() / holders[0].interval.as_secs_f64();
            let count = u32::try_from(holders.len()).expect("a thousand");
            let sum = f64::from(count + 2) * (each.floor() + 1.0);
            let alone = entries == 1;
            assert!(
                alone || sum <= TOLERANCE.max_requests(rate(per_second)),
                "{entries} entries, {per_second}/s: {sum}"
            );
        }
    }
}

#[test]
fn an_entry_that_does_not_know_the_others_sends_nothing() {
    let now = clock::now();
    let mut cold = Warmups::new(TOLERANCE, "edge-0");
    assert!(cold.begin(ENDPOINT, SECOND, rate(14.0), now));
    assert!(!send(&mut cold, now + SECOND / 2));
}

#[test]
fn it_ends_by_its_time_and_by_a_word() {
    let now = clock::now();
    let hosts = hosts(2);
    let mut cold = table("edge-0", &hosts, now);
    assert!(cold.begin(ENDPOINT, SECOND, rate(2.0), now));
    assert!(!cold.begin(ENDPOINT, SECOND, rate(2.0), now + SECOND / 2));
    assert!(cold.expire(now + SECOND).is_empty(), "it was prolonged");
    assert_eq!(cold.expire(now + 2 * SECOND), [ENDPOINT]);
    assert_eq!(cold.withheld(ENDPOINT), None);
    assert!(cold.begin(ENDPOINT, SECOND, rate(2.0), now + 3 * SECOND));
    assert!(cold.end(ENDPOINT, now + 3 * SECOND + SECOND / 2));
    assert_eq!(cold.withheld(ENDPOINT), None);
    assert!(!cold.end(ENDPOINT, now + 4 * SECOND));
}

#[test]
fn a_time_out_of_all_bounds_is_cut() {
    let now = clock::now();
    let mut cold = table("edge-0", &hosts(1), now);
    cold.begin(ENDPOINT, Duration::MAX, rate(2.0), now);
    assert_eq!(cold.expire(now + Duration::from_hours(1)), [ENDPOINT]);
}
