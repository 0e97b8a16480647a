//! Which streams are let in while capacity is short.

use std::time::Duration;

/// The part of the longest pause on time from which passes let some streams
/// in no more, and the one from which they let none in. One pass in some takes
/// a quarter longer than the usual, and one pause too long makes a whole stream
/// late.
const PASS_PRESSES: f64 = 0.7;
const PASS_FULL: f64 = 1.1;
/// The part of a route's target that the first event of a first attempt may be
/// predicted to take: one that comes later makes the whole answer late, and the
/// slot is worth more to the next caller.
const FIRST_PART: f64 = 0.9;

/// How full an endpoint may be for a caller that was refused before, in hundredths
/// of its slots, when it comes and at the end of its wait: what entries believe is a
/// quarter of a second old, and several of them see the same free slots.
const RETURNED_FILL: f64 = 50.0;
const RETURNED_FILL_LAST: f64 = 75.0;
/// How long a caller that was refused before waits for room: another refusal loses
/// it, and it gives up after two seconds without an event.
pub const RETURNED_WAIT: Duration = Duration::from_secs(1);

/// Whether a caller comes for the first time or was refused before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Caller {
    /// It comes for the first time.
    First,
    /// It was refused before, and has waited here for so long.
    Returned {
        /// The time since it came.
        waited: Duration,
    },
}

/// What a stream has to expect at the endpoint that was chosen for it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Forecast {
    /// Whether all endpoints that could take it are full.
    pub full: bool,
    /// The requests that are believed there, in hundredths of its slots.
    pub fill: u32,
    /// The time until it has a slot.
    pub wait: Duration,
    /// The time until its first event.
    pub first: Duration,
    /// How long passes of the endpoint's group take, if that is known.
    pub pass: Option<Duration>,
}

/// What a route's callers accept.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Targets {
    /// The time within which the first event should come.
    pub target: Duration,
    /// The longest pause between events of a stream that is still on time.
    pub pause: Option<Duration>,
}

/// Tells whether a request is let in; `draw`, from 0 to 1, spreads the answer
/// while passes get long.
#[must_use]
pub fn admits(caller: Caller, forecast: &Forecast, terms: &Targets, draw: f64) -> bool {
    match caller {
        Caller::First => {
            let late = forecast.full && forecast.first > terms.target.mul_f64(FIRST_PART);
            !late && !presses(forecast, terms, draw)
        }
        // It can't be on time any more: it takes what first attempts leave.
        Caller::Returned { waited } => {
            let part = waited.div_duration_f64(RETURNED_WAIT).min(1.0);
            let most = RETURNED_FILL + (RETURNED_FILL_LAST - RETURNED_FILL) * part;
            f64::from(forecast.fill) <= most && !presses(forecast, terms, draw)
        }
    }
}

/// Decides whether a stream is refused so that passes stay short for those that
/// run: one more would make all of them late.
fn presses(forecast: &Forecast, terms: &Targets, draw: f64) -> bool {
    let Some((pass, pause)) = forecast.pass.zip(terms.pause) else {
        return false;
    };
    let part = pass.as_secs_f64() / pause.as_secs_f64();
    let refused = (part - PASS_PRESSES) / (PASS_FULL - PASS_PRESSES);
    refused > 0.0 && draw < refused
}
