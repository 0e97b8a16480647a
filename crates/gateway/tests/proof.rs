//! Which responses confirm that the cached configuration is the newest one.

use std::time::Duration;

use cactusnotch_base::clock;
use cactusnotch_gateway::confirmation::{REWRITE_TIME, Shown};
use cactusnotch_position::Era;

const MOMENT: Duration = Duration::from_millis(1);

fn shown(era: u64, version: u64) -> Shown {
    let mut shown = Shown::default();
    shown.record(Era(era), version);
    shown
}

#[test]
fn a_store_that_lost_nothing_proves_what_it_has_shown() {
    let now = clock::now();
    assert!(shown(0, 7).confirms(7, Era(0), now, None));
    assert!(shown(0, 9).confirms(7, Era(0), now, None));
    assert!(!shown(0, 5).confirms(7, Era(0), now, None));
}

#[test]
fn an_unsettled_era_confirms_nothing_until_lost_writes_may_be_repeated() {
    let since = clock::now();
    let settled = since + REWRITE_TIME;
    let shown = shown(1, 7);
    assert!(!shown.confirms(7, Era(1), since, Some(since)));
    assert!(!shown.confirms(7, Era(1), settled - MOMENT, Some(since)));
    assert!(shown.confirms(7, Era(1), settled, Some(since)));
}

#[test]
fn answers_of_another_era_confirm_nothing() {
    let since = clock::now();
    let later = since + 5 * REWRITE_TIME;
    let mut shown = shown(1, 7);
    assert!(!shown.confirms(7, Era(2), later, Some(since)));
    shown.record(Era(2), 5);
    assert!(
        !shown.confirms(7, Era(2), later, Some(since)),
        "it lacks an accepted version"
    );
    shown.record(Era(1), 9);
    assert!(
        !shown.confirms(7, Era(2), later, Some(since)),
        "an answer of an earlier era"
    );
    shown.record(Era(2), 7);
    assert!(shown.confirms(7, Era(2), later, Some(since)));
}
