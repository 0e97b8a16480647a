//! The eras of a store, first hand and by what others tell.

use std::time::Duration;

use cactusnotch_base::clock::{self, Instant};
use cactusnotch_position::eras::Seen;
use cactusnotch_position::{Era, Eras};

fn start() -> (Eras, Instant) {
    (Eras::default(), clock::now())
}

#[test]
fn a_store_without_eras_is_in_one_that_is_not_young() {
    let (eras, now) = start();
    assert_eq!(eras.see(Era(0), now), Seen::Current);
    assert_eq!(eras.see(Era(0), now), Seen::Current);
    assert_eq!(eras.young_since(), None);
}

#[test]
fn a_newer_era_begins_when_the_store_says_so_also_if_some_were_missed() {
    let (eras, now) = start();
    eras.see(Era(1), now);
    let later = now + Duration::from_secs(1);
    assert_eq!(eras.see(Era(3), later), Seen::Newer);
    assert_eq!(eras.current(), Era(3));
    assert_eq!(eras.young_since(), Some(later));
}

#[test]
fn an_answer_of_an_era_that_has_ended_says_nothing() {
    let (eras, now) = start();
    eras.see(Era(2), now);
    assert_eq!(eras.see(Era(1), now), Seen::Ended);
    assert_eq!(
        eras.see(Era(0), now),
        Seen::Ended,
        "nor does one without an era"
    );
    assert_eq!(eras.current(), Era(2));
}

#[test]
fn a_process_that_starts_in_a_later_era_takes_it_for_young() {
    let (eras, now) = start();
    assert_eq!(eras.see(Era(1), now), Seen::Current);
    assert_eq!(eras.young_since(), Some(now));
}

#[test]
fn an_era_is_young_until_it_is_known_to_have_settled_and_no_other_is_settled_with_it() {
    let (eras, now) = start();
    eras.see(Era(2), now);
    assert!(!eras.settle(Era(1)));
    assert!(!eras.settle(Era(3)), "nothing is known of it");
    assert_eq!(eras.young_since(), Some(now));
    assert!(eras.settle(Era(2)));
    assert!(!eras.settle(Era(2)), "it is known");
    assert_eq!(eras.young_since(), None);
    assert_eq!(eras.see(Era(2), now), Seen::Current);
    assert_eq!(eras.see(Era(3), now), Seen::Newer);
    assert_eq!(eras.young_since(), Some(now));
}

/// Grounds: a store that is away for seconds refuses calls, and states its new era as it does.
#[test]
fn an_era_is_young_from_when_the_store_serves_in_it() {
    let (eras, now) = start();
    let at = |seconds| now + Duration::from_secs(seconds);
    eras.see(Era(0), at(0));
    eras.see(Era(1), at(1));
    eras.see(Era(1), at(3));
    eras.see(Era(1), at(4));
    eras.serve(at(4));
    assert_eq!(eras.young_since(), Some(at(4)));
    eras.serve(at(5));
    assert_eq!(eras.young_since(), Some(at(4)));
    // It was away once more before all was written again.
    eras.return_at(at(7));
    assert_eq!(eras.young_since(), Some(at(7)));
    assert!(eras.settle(Era(1)));
    eras.return_at(at(60));
    assert_eq!(eras.young_since(), None);
}

#[test]
fn what_others_tell_is_a_reason_to_ask_and_no_more() {
    let (eras, now) = start();
    eras.see(Era(1), now);
    eras.hear(Era(1), now);
    assert!(!eras.is_in_doubt());
    // Of a datagram that was spoilt, maybe.
    eras.hear(Era(900), now);
    assert!(eras.is_in_doubt());
    assert_eq!(eras.current(), Era(1));
    eras.see(Era(1), now);
    assert!(!eras.is_in_doubt());
    eras.hear(Era(900), now);
    assert!(!eras.is_in_doubt(), "once is enough");
    let told = now + Duration::from_secs(1);
    eras.hear(Era(2), told);
    assert!(eras.is_in_doubt(), "it takes no later word away");
    assert_eq!(eras.see(Era(2), told + Duration::from_secs(1)), Seen::Newer);
    assert_eq!(eras.young_since(), Some(told), "it had begun by then");
}
