//! Endpoints that the store lost stay in use for a limited time, and leaving ones are
//! not used beyond their bound.

use std::time::Duration;

use cactusnotch_base::clock;
use cactusnotch_gateway::outage::{DETECTION_DELAY_MAX, Outage, REREGISTRATION_TIME};

/// The time from the last working connection to the store until leaving endpoints must
/// be known.
const LEAVING_BOUND: Duration = Duration::from_secs(3);

#[test]
fn an_endpoint_that_is_missing_without_an_outage_is_gone() {
    assert_eq!(Outage::default().kept_until(clock::now()), None);
}

#[test]
fn an_endpoint_that_the_store_lost_is_kept_for_a_while_after_its_return() {
    let returned = clock::now();
    let mut outage = Outage::default();
    outage.end(returned);
    assert_eq!(
        outage.kept_until(returned),
        Some(returned + REREGISTRATION_TIME)
    );
    let late = returned + REREGISTRATION_TIME;
    assert_eq!(
        outage.kept_until(late),
        None,
        "the endpoint has not registered again"
    );
}

#[test]
fn an_endpoint_that_leaves_at_any_moment_is_not_used_beyond_its_bound() {
    let bound = Duration::from_secs(2);
    let connected = clock::now();
    for late in (0..=DETECTION_DELAY_MAX.as_millis()).step_by(50) {
        let late = Duration::from_millis(u64::try_from(late).expect("small"));
        let returned = connected + late;
        let mut outage = Outage::default();
        outage.end(returned);
        for left in (0..4_000).step_by(50) {
            let left = connected + Duration::from_millis(left);
            // It is detected at once, or with the first response after the outage.
            let seen = left.max(returned);
            let used = outage.kept_until(seen).unwrap_or(seen);
            let allowed = (left + bound).max(connected + LEAVING_BOUND);
            assert!(
                used <= allowed,
                "detected after {late:?}, left at {:?}",
                left - connected
            );
        }
    }
}
