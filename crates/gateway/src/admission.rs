//! Load shedding: decides which requests are admitted while capacity is short.

use std::time::Duration;

pub use crate::caller_timeout::RETURNED_WAIT;

/// Ratios of a forward pass's time to the longest event gap that is still on time.
/// Above the first, some streams are shed; from the second on, all are. Some passes
/// take a quarter longer than usual, and a single gap that is too long makes the whole
/// stream late.
const PASS_RATIO_SHED_SOME: f64 = 0.7;
const PASS_RATIO_SHED_ALL: f64 = 1.1;
/// The longest predicted time to the first event at which a first attempt is admitted,
/// as a fraction of the route's target. A later first event makes the whole response
/// late, and the slot is worth more to the next caller.
const FIRST_EVENT_RATIO_MAX: f64 = 0.9;

/// The highest utilisation, in hundredths of an endpoint's slots, at which a returning
/// caller is admitted: on arrival, and at the end of its wait. Entries see loads that
/// are up to a quarter of a second old, and several entries see the same free slots.
const RETURNED_UTILISATION: f64 = 50.0;
const RETURNED_UTILISATION_LAST: f64 = 75.0;
/// Whether a request is a caller's first attempt or a retry after a refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Caller {
    /// A first attempt.
    First,
    /// A retry after a refusal.
    Returned {
        /// How long this attempt has waited at this entry.
        waited: Duration,
    },
}

/// The predicted service of a request at the endpoint selected for it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Forecast {
    /// Whether all eligible endpoints are full.
    pub full: bool,
    /// The estimated utilisation of the endpoint, in hundredths of its slots.
    pub utilisation: u32,
    /// The time until the request gets a slot.
    pub slot_wait: Duration,
    /// The time until the first event.
    pub first: Duration,
    /// The duration of a forward pass in the endpoint's group, if known.
    pub pass_time: Option<Duration>,
}

/// The latencies that a route's callers accept.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Targets {
    /// The target for the time until the first event.
    pub first_event: Duration,
    /// The longest gap between events of a stream that is still on time.
    pub max_event_gap: Option<Duration>,
}

/// Returns whether a request is admitted. `draw`, a random number from 0 to 1, admits a
/// fraction of the requests while forward passes approach the limit.
#[must_use]
pub fn admits(caller: Caller, forecast: &Forecast, targets: &Targets, draw: f64) -> bool {
    match caller {
        Caller::First => {
            !is_late(forecast, targets) && !sheds_for_pass_time(forecast, targets, draw)
        }
        // A returning caller can no longer be on time: it only gets capacity that first
        // attempts leave free.
        Caller::Returned { waited } => {
            let fraction = waited.div_duration_f64(RETURNED_WAIT).min(1.0);
            let utilisation_max = RETURNED_UTILISATION
                + (RETURNED_UTILISATION_LAST - RETURNED_UTILISATION) * fraction;
            f64::from(forecast.utilisation) <= utilisation_max
                && !sheds_for_pass_time(forecast, targets, draw)
        }
    }
}

/// Returns whether all slots are taken and the first event would be late.
#[must_use]
pub fn is_late(forecast: &Forecast, targets: &Targets) -> bool {
    forecast.full && forecast.first > targets.first_event.mul_f64(FIRST_EVENT_RATIO_MAX)
}

/// Returns whether a stream is shed to keep forward passes short: one more stream would
/// delay all those that are running.
fn sheds_for_pass_time(forecast: &Forecast, targets: &Targets, draw: f64) -> bool {
    let Some((pass, gap)) = forecast.pass_time.zip(targets.max_event_gap) else {
        return false;
    };
    let ratio = pass.as_secs_f64() / gap.as_secs_f64();
    let shed = (ratio - PASS_RATIO_SHED_SOME) / (PASS_RATIO_SHED_ALL - PASS_RATIO_SHED_SOME);
    shed > 0.0 && draw < shed
}
