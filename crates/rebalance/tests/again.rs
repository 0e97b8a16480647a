//! Load of a small group: rank 0 answers each status of a rank with the round under way,
//! and a rank that receives a round again repeats its status.
//!
//! The figures assume that a message takes a millisecond within a region, and that a group
//! of 32 ranks is held for some 30 ms in an undisturbed round.

use std::time::Duration;

use cactusnotch_base::clock;
use cactusnotch_rebalance::resend;

const HOP: Duration = Duration::from_millis(1);

/// Returns how often a rank sends its status within `time` after it has received a round,
/// if each status is answered at once.
fn statuses(time: Duration) -> u32 {
    let base = clock::now();
    let (mut sent_at, mut statuses, mut now) = (Some(base), 1, base);
    while now < base + time {
        now += HOP + HOP;
        if resend::is_due(sent_at, now) {
            (sent_at, statuses) = (Some(now), statuses + 1);
        }
    }
    statuses
}

#[test]
fn a_rank_and_its_leader_do_not_answer_each_other_without_end() {
    assert_eq!(statuses(Duration::from_millis(60)), 1);
    assert!(statuses(Duration::from_millis(600)) <= 7);
}

#[test]
fn a_lost_status_is_resent_when_the_round_is_repeated() {
    let base = clock::now();
    assert!(
        !resend::is_due(None, base),
        "the first status is sent in any case"
    );
    assert!(resend::is_due(
        Some(base),
        base + Duration::from_millis(200)
    ));
}
