//! The eras of a store, observed directly and reported by other processes.

use std::time::Duration;

use cactusnotch_base::clock::{self, Instant};
use cactusnotch_position::eras::Observation;
use cactusnotch_position::{Era, Eras};

fn start() -> (Eras, Instant) {
    (Eras::default(), clock::now())
}

#[test]
fn a_store_without_eras_is_settled() {
    let (eras, now) = start();
    assert_eq!(eras.observe(Era(0), now), Observation::Current);
    assert_eq!(eras.observe(Era(0), now), Observation::Current);
    assert_eq!(eras.unsettled_since(), None);
}

#[test]
fn a_newer_era_begins_when_the_store_says_so_also_if_some_were_missed() {
    let (eras, now) = start();
    eras.observe(Era(1), now);
    let later = now + Duration::from_secs(1);
    assert_eq!(eras.observe(Era(3), later), Observation::Newer);
    assert_eq!(eras.current(), Era(3));
    assert_eq!(eras.unsettled_since(), Some(later));
}

#[test]
fn an_answer_of_an_ended_era_is_ignored() {
    let (eras, now) = start();
    eras.observe(Era(2), now);
    assert_eq!(eras.observe(Era(1), now), Observation::Ended);
    assert_eq!(
        eras.observe(Era(0), now),
        Observation::Ended,
        "an answer without an era has ended too"
    );
    assert_eq!(eras.current(), Era(2));
}

#[test]
fn a_process_that_starts_in_a_later_era_treats_it_as_unsettled() {
    let (eras, now) = start();
    assert_eq!(eras.observe(Era(1), now), Observation::Current);
    assert_eq!(eras.unsettled_since(), Some(now));
}

#[test]
fn an_era_is_young_until_it_is_known_to_have_settled_and_no_other_is_settled_with_it() {
    let (eras, now) = start();
    eras.observe(Era(2), now);
    assert!(!eras.settle(Era(1)));
    assert!(!eras.settle(Era(3)), "the era was never observed");
    assert_eq!(eras.unsettled_since(), Some(now));
    assert!(eras.settle(Era(2)));
    assert!(!eras.settle(Era(2)), "already settled");
    assert_eq!(eras.unsettled_since(), None);
    assert_eq!(eras.observe(Era(2), now), Observation::Current);
    assert_eq!(eras.observe(Era(3), now), Observation::Newer);
    assert_eq!(eras.unsettled_since(), Some(now));
}

/// A store that is unavailable for seconds refuses calls, but its refusals already carry the new
/// era. The time of such a refusal must not count as the start of service.
#[test]
fn an_era_is_young_from_when_the_store_serves_in_it() {
    let (eras, now) = start();
    let at = |seconds| now + Duration::from_secs(seconds);
    eras.observe(Era(0), at(0));
    eras.observe(Era(1), at(1));
    eras.observe(Era(1), at(3));
    eras.observe(Era(1), at(4));
    eras.record_served(at(4));
    assert_eq!(eras.unsettled_since(), Some(at(4)));
    eras.record_served(at(5));
    assert_eq!(eras.unsettled_since(), Some(at(4)));
    // A second outage occurs before all data was rewritten.
    eras.record_return(at(7));
    assert_eq!(eras.unsettled_since(), Some(at(7)));
    assert!(eras.settle(Era(1)));
    eras.record_return(at(60));
    assert_eq!(eras.unsettled_since(), None);
}

#[test]
fn a_report_by_another_process_only_triggers_a_query() {
    let (eras, now) = start();
    eras.observe(Era(1), now);
    eras.record_report(Era(1), now);
    assert!(!eras.is_unconfirmed());
    // This era may come from a corrupted datagram.
    eras.record_report(Era(900), now);
    assert!(eras.is_unconfirmed());
    assert_eq!(eras.current(), Era(1));
    eras.observe(Era(1), now);
    assert!(!eras.is_unconfirmed());
    eras.record_report(Era(900), now);
    assert!(!eras.is_unconfirmed(), "a repeated report is ignored");
    let reported = now + Duration::from_secs(1);
    eras.record_report(Era(2), reported);
    assert!(
        eras.is_unconfirmed(),
        "a refuted report does not suppress a later one"
    );
    assert_eq!(
        eras.observe(Era(2), reported + Duration::from_secs(1)),
        Observation::Newer
    );
    assert_eq!(
        eras.unsettled_since(),
        Some(reported),
        "the era had begun at the time of the report"
    );
}
