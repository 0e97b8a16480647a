//! Which streams are let in while half of the capacity is gone.
//!
//! The load is that of one of two groups falling silent at 75 streams a second: the
//! other has slots for about 46 a second. A stream is worth all if its first event
//! comes within the target and a quarter if it is late, and a caller that is refused
//! a second time is lost. So first attempts that can be on time come first, and
//! callers that come back take what is left.

use std::time::Duration;

use cactusnotch_gateway::admission::{Caller, Forecast, RETURNED_WAIT, Targets, admits};

const TERMS: Targets = Targets {
    target: Duration::from_millis(400),
    pause: Some(Duration::from_millis(120)),
};
const FREE: Forecast = Forecast {
    full: false,
    fill: 40,
    wait: Duration::ZERO,
    first: Duration::from_millis(170),
    pass: Some(Duration::from_millis(60)),
};
const FULL: Forecast = Forecast {
    full: true,
    fill: 108,
    wait: Duration::from_millis(180),
    first: Duration::from_millis(350),
    ..FREE
};
/// A draw that no chance to be refused is above.
const LUCKY: f64 = 1.0;

fn returned(waited: u64) -> Caller {
    Caller::Returned {
        waited: Duration::from_millis(waited),
    }
}

#[test]
fn all_are_let_in_while_there_is_room() {
    for caller in [Caller::First, returned(0)] {
        assert!(admits(caller, &FREE, &TERMS, 0.0));
    }
}

#[test]
fn a_first_attempt_waits_for_a_slot_if_it_will_be_on_time() {
    assert!(admits(Caller::First, &FULL, &TERMS, LUCKY));
    let late = Forecast {
        first: Duration::from_millis(390),
        ..FULL
    };
    assert!(!admits(Caller::First, &late, &TERMS, LUCKY));
}

#[test]
fn a_returned_caller_leaves_full_endpoints_to_first_attempts() {
    assert!(!admits(returned(0), &FULL, &TERMS, LUCKY));
    assert!(!admits(returned(1_000), &FULL, &TERMS, LUCKY));
}

#[test]
fn a_returned_caller_accepts_fuller_endpoints_the_longer_it_has_waited() {
    let at = |fill| Forecast { fill, ..FREE };
    assert!(!admits(returned(0), &at(60), &TERMS, LUCKY));
    assert!(admits(returned(500), &at(60), &TERMS, LUCKY));
    assert!(!admits(returned(500), &at(70), &TERMS, LUCKY));
    let waited = u64::try_from(RETURNED_WAIT.as_millis()).expect("a second");
    assert!(admits(returned(waited), &at(75), &TERMS, LUCKY));
}

#[test]
fn long_passes_keep_both_out() {
    let long = Forecast {
        pass: Some(Duration::from_millis(140)),
        ..FREE
    };
    for caller in [Caller::First, returned(0)] {
        assert!(!admits(caller, &long, &TERMS, 0.99));
    }
    // Half way between the bounds half of them are kept out.
    let pressing = Forecast {
        pass: Some(Duration::from_millis(108)),
        ..FREE
    };
    assert!(!admits(Caller::First, &pressing, &TERMS, 0.4));
    assert!(admits(Caller::First, &pressing, &TERMS, 0.6));
}

#[test]
fn a_plain_request_has_no_passes() {
    let plain = Targets {
        pause: None,
        ..TERMS
    };
    let forecast = Forecast { pass: None, ..FREE };
    assert!(admits(Caller::First, &forecast, &plain, 0.0));
}
