//! The pass durations that follow from periodic observations of an endpoint.

use std::time::Duration;

use cactusnotch_base::clock::{self, Instant};
use cactusnotch_rebalance::cadence::Cadence;

const OBSERVE_INTERVAL: Duration = Duration::from_millis(30);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Observes a group whose passes take `pass` every 30 ms, for `time`.
fn observe_for(cadence: &mut Cadence, start: Instant, pass: Duration, time: Duration) -> Instant {
    let step = |now: Instant| {
        let passes = now.duration_since(start).as_nanos() / pass.as_nanos();
        u64::try_from(passes).expect("few passes")
    };
    let mut now = start;
    while now + OBSERVE_INTERVAL < start + time {
        cadence.observe(step(now), now);
        now += OBSERVE_INTERVAL;
    }
    cadence.observe(step(now), now);
    now
}

#[test]
fn the_mean_of_steady_passes_is_found() {
    let mut cadence = Cadence::default();
    observe_for(&mut cadence, clock::now(), ms(80), ms(3_000));
    assert!(
        (70..=90).contains(&cadence.pass_ms()),
        "{} ms",
        cadence.pass_ms()
    );
}

#[test]
fn a_group_that_stands_still_has_a_pass_that_grows() {
    let mut cadence = Cadence::default();
    let last = observe_for(&mut cadence, clock::now(), ms(80), ms(3_000));
    assert!(cadence.pass_ms_under_load(last) < 100);
    // Further observations show no new pass.
    for after in [300, 500, 900, 2_000] {
        cadence.observe(37, last + ms(after));
        let pass = u64::from(cadence.pass_ms_under_load(last + ms(after)));
        assert!(
            pass + 200 >= after,
            "{pass} ms after {after} ms without a pass"
        );
    }
}

#[test]
fn a_pass_that_may_begin_within_a_time_is_counted() {
    let mut cadence = Cadence::default();
    assert_eq!(
        cadence.passes_within(ms(60), clock::now()),
        None,
        "no passes yet"
    );
    let start = clock::now();
    let pass = ms(100);
    let now = observe_for(&mut cadence, start, pass, ms(4_060));
    // The pass after the next begins within 200 ms in any case, and the one
    // after that does not begin within 60 ms.
    let within = |time| cadence.passes_within(time, now).expect("there are passes");
    assert!(within(ms(220)) >= 2);
    assert!(within(ms(60)) <= 1);
    assert_eq!(within(Duration::ZERO), 0, "the present one has begun");
}
