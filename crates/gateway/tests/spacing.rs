//! Calls whose repetition depends on what the store answers are spaced.

use std::time::Duration;

use cactusnotch_base::clock;
use cactusnotch_gateway::spacing::Spacing;

/// Returns how many calls a task makes in `time` if each is repeated as soon as it may be.
fn calls_within(time: Duration, answered_after: Duration) -> u32 {
    let (mut spacing, start) = (Spacing::default(), clock::now());
    let (mut now, mut calls) = (start, 0);
    while now < start + time {
        now += answered_after;
        spacing.record(now);
        calls += 1;
        now += spacing.left(now);
    }
    calls
}

/// Guards against a task that calls the store as fast as it answers.
#[test]
fn repeated_calls_are_spaced() {
    let answered_after = Duration::from_micros(100);
    assert!(calls_within(Duration::from_secs(3), answered_after) <= 7);
    assert!(calls_within(Duration::from_mins(1), answered_after) <= 36);
}

/// Guards against a task that is late where nothing went wrong before.
#[test]
fn the_first_repetition_and_calls_after_a_calm_are_not_delayed() {
    let (mut spacing, mut now) = (Spacing::default(), clock::now());
    for _ in 0..3 {
        assert_eq!(spacing.left(now), Duration::ZERO);
        spacing.record(now);
        assert_eq!(spacing.left(now), Duration::ZERO);
        now += Duration::from_secs(10);
    }
}
