//! Load shedding while half of the capacity is unavailable.
//!
//! Models one of two groups that becomes unresponsive at 75 streams a second; the other
//! group has slots for about 46 a second. A stream has its full value if its first
//! event arrives within the target and a quarter of it if it is late, and a caller that
//! is refused a second time is lost. First attempts that can be on time therefore take
//! precedence, and returning callers get the remaining capacity.

use std::time::Duration;

use cactusnotch_gateway::admission::{Caller, Forecast, RETURNED_WAIT, Targets, admits};

const TARGETS: Targets = Targets {
    first_event: Duration::from_millis(400),
    max_event_gap: Some(Duration::from_millis(120)),
};
const FREE: Forecast = Forecast {
    full: false,
    utilisation: 40,
    slot_wait: Duration::ZERO,
    first: Duration::from_millis(170),
    pass_time: Some(Duration::from_millis(60)),
};
const FULL: Forecast = Forecast {
    full: true,
    utilisation: 108,
    slot_wait: Duration::from_millis(180),
    first: Duration::from_millis(350),
    ..FREE
};
/// A draw with which a request is never refused by chance.
const NEVER_SHED: f64 = 1.0;

fn returned(waited: u64) -> Caller {
    Caller::Returned {
        waited: Duration::from_millis(waited),
    }
}

#[test]
fn all_are_let_in_while_there_is_room() {
    for caller in [Caller::First, returned(0)] {
        assert!(admits(caller, &FREE, &TARGETS, 0.0));
    }
}

#[test]
fn a_first_attempt_waits_for_a_slot_if_it_will_be_on_time() {
    assert!(admits(Caller::First, &FULL, &TARGETS, NEVER_SHED));
    let late = Forecast {
        first: Duration::from_millis(390),
        ..FULL
    };
    assert!(!admits(Caller::First, &late, &TARGETS, NEVER_SHED));
}

#[test]
fn a_returned_caller_leaves_full_endpoints_to_first_attempts() {
    assert!(!admits(returned(0), &FULL, &TARGETS, NEVER_SHED));
    assert!(!admits(returned(1_000), &FULL, &TARGETS, NEVER_SHED));
}

#[test]
fn a_returned_caller_accepts_fuller_endpoints_the_longer_it_has_waited() {
    let at = |utilisation| Forecast {
        utilisation,
        ..FREE
    };
    assert!(!admits(returned(0), &at(60), &TARGETS, NEVER_SHED));
    assert!(admits(returned(500), &at(60), &TARGETS, NEVER_SHED));
    assert!(!admits(returned(500), &at(70), &TARGETS, NEVER_SHED));
    let waited = u64::try_from(RETURNED_WAIT.as_millis()).expect("it is one second");
    assert!(admits(returned(waited), &at(75), &TARGETS, NEVER_SHED));
}

#[test]
fn long_passes_shed_first_attempts_and_retries() {
    let long = Forecast {
        pass_time: Some(Duration::from_millis(140)),
        ..FREE
    };
    for caller in [Caller::First, returned(0)] {
        assert!(!admits(caller, &long, &TARGETS, 0.99));
    }
    // Half way between the two bounds, half of the requests are shed.
    let pressing = Forecast {
        pass_time: Some(Duration::from_millis(108)),
        ..FREE
    };
    assert!(!admits(Caller::First, &pressing, &TARGETS, 0.4));
    assert!(admits(Caller::First, &pressing, &TARGETS, 0.6));
}

#[test]
fn a_plain_request_has_no_passes() {
    let plain = Targets {
        max_event_gap: None,
        ..TARGETS
    };
    let forecast = Forecast {
        pass_time: None,
        ..FREE
    };
    assert!(admits(Caller::First, &forecast, &plain, 0.0));
}
