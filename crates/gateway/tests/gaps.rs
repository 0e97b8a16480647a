//! The longest gap of a stream is the one its caller sees, with the time at which it began.

use std::time::Duration;

use cactusnotch_base::clock;
use cactusnotch_gateway::gaps::{Gap, Gaps};

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Returns the gaps of a stream whose events are handed over at these times after the arrival.
fn stream(events: &[u64]) -> Gaps {
    let arrived = clock::now();
    let mut gaps = Gaps::new(arrived);
    for &event in events {
        gaps.record_event(arrived + ms(event));
    }
    gaps
}

#[test]
fn the_longest_gap_is_kept_with_its_begin() {
    // The pattern of a demand shift: passes of 50 ms, one of 140 ms, then shorter ones again.
    let gaps = stream(&[290, 340, 390, 530, 600, 650]);
    let longest = Gap {
        length: ms(140),
        begun: ms(390),
    };
    assert_eq!(gaps.first(), Some(ms(290)));
    assert_eq!(gaps.longest(), Some(longest));
}

#[test]
fn the_time_to_the_first_event_is_no_gap() {
    // A stream that waited at the entry must not appear as one with a late gap.
    let gaps = stream(&[900, 950]);
    assert_eq!(gaps.first(), Some(ms(900)));
    assert_eq!(gaps.longest().map(|gap| gap.length), Some(ms(50)));
}

#[test]
fn a_stream_without_two_events_has_no_gap() {
    assert_eq!((stream(&[]).first(), stream(&[]).longest()), (None, None));
    assert_eq!(stream(&[100]).longest(), None);
}

#[test]
fn the_earliest_of_equal_gaps_is_kept() {
    let gaps = stream(&[100, 200, 300]);
    assert_eq!(gaps.longest().map(|gap| gap.begun), Some(ms(100)));
}
