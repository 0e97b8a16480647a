//! What is known of a group's passes from looks at its endpoint.

use std::time::Duration;

use cactusnotch_base::clock::{self, Instant};
use cactusnotch_rebalance::cadence::Cadence;

const LOOK: Duration = Duration::from_millis(30);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Looks every 30 ms at a group whose passes take `pass`, for `time`.
fn looks(cadence: &mut Cadence, start: Instant, pass: Duration, time: Duration) -> Instant {
    let step = |now: Instant| {
        let passes = now.duration_since(start).as_nanos() / pass.as_nanos();
        u64::try_from(passes).expect("few passes")
    };
    let mut now = start;
    while now + LOOK < start + time {
        cadence.observe(step(now), now);
        now += LOOK;
    }
    cadence.observe(step(now), now);
    now
}

#[test]
fn the_mean_of_steady_passes_is_found() {
    let mut cadence = Cadence::default();
    looks(&mut cadence, clock::now(), ms(80), ms(3_000));
    assert!(
        (70..=90).contains(&cadence.pass_ms()),
        "{} ms",
        cadence.pass_ms()
    );
}

#[test]
fn a_group_that_stands_still_has_a_pass_that_grows() {
    let mut cadence = Cadence::default();
    let last = looks(&mut cadence, clock::now(), ms(80), ms(3_000));
    assert!(cadence.pass_ms_under_load(last) < 100);
    // Looks go on and show no further pass.
    for late in [300, 500, 900, 2_000] {
        cadence.observe(37, last + ms(late));
        let pass = u64::from(cadence.pass_ms_under_load(last + ms(late)));
        assert!(
            pass + 200 >= late,
            "{pass} ms after {late} ms without a pass"
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
    let now = looks(&mut cadence, start, pass, ms(4_060));
    // The next pass but one begins within 200 ms whatever the moment is, and the
    // one after it does not within 60 ms.
    let within = |time| cadence.passes_within(time, now).expect("there are passes");
    assert!(within(ms(220)) >= 2);
    assert!(within(ms(60)) <= 1);
    assert_eq!(within(Duration::ZERO), 0, "the present one has begun");
}
