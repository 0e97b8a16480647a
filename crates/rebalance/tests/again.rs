//! Load: rank 0 of a small group answers each word of a rank with the round that is under
//! way, and a rank that hears a round again says again how it stands.
//!
//! Grounds of the figures: a message takes a millisecond within a region, and a group of 32
//! ranks is held for some 30 ms in a round that goes well.

use std::time::Duration;

use cactusnotch_base::clock;
use cactusnotch_rebalance::resend;

const HOP: Duration = Duration::from_millis(1);

/// Returns how many words a rank says within `time` after it has heard a round, if each is
/// answered at once.
fn words(time: Duration) -> u32 {
    let base = clock::now();
    let (mut told, mut words, mut now) = (Some(base), 1, base);
    while now < base + time {
        now += HOP + HOP;
        if resend::is_due(told, now) {
            (told, words) = (Some(now), words + 1);
        }
    }
    words
}

#[test]
fn a_rank_and_its_leader_do_not_answer_each_other_without_end() {
    assert_eq!(words(Duration::from_millis(60)), 1);
    assert!(words(Duration::from_millis(600)) <= 7);
}

#[test]
fn a_word_that_was_lost_is_said_again_when_the_round_is_told_again() {
    let base = clock::now();
    assert!(!resend::is_due(None, base), "it is said anyway");
    assert!(resend::is_due(
        Some(base),
        base + Duration::from_millis(200)
    ));
}
