//! The one cause of a stream that is late or refused.

use std::time::Duration;

use cactusnotch_derive::record;
use derive_more::Display;
use serde::Serialize;

/// The fill from which passes come near the longest gap if no limit is known: at 0.5 of the
/// slots they stay below it during a shift of demand, at 0.7 they don't.
const HIGH_FILL: f64 = 0.6;

/// Why a stream was late or refused.
#[record]
#[derive(Copy, PartialOrd, Ord, Display, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// The caller had been refused before.
    #[display("returned caller")]
    Returned,
    /// The first event came after the target.
    #[display("first event late")]
    First,
    /// A gap was too long after demand had shifted.
    #[display("gap at a shift of demand")]
    Shift,
    /// A gap was too long while a new expert map came in force.
    #[display("gap at a new map")]
    Map,
    /// A gap was too long since the group broke.
    #[display("gap at a broken group")]
    Broken,
    /// A gap was too long while a rank of the group was slow.
    #[display("gap at a slow rank")]
    Slow,
    /// A gap was too long while the group was full.
    #[display("gap at a high fill")]
    Fill,
    /// A gap was too long without any of these.
    #[display("gap otherwise")]
    Gap,
    /// Refused on arrival, since it would have been late.
    #[display("hopeless")]
    Hopeless,
    /// Refused after it had waited.
    #[display("expired")]
    Expired,
    /// Refused since the queue was full.
    #[display("full")]
    Full,
    /// Refused since no endpoint was eligible.
    #[display("no endpoint")]
    NoEndpoint,
    /// Refused for a reason unrelated to load.
    #[display("refused otherwise")]
    Otherwise,
}

/// The measured times of a stream, and its route's targets.
#[record]
#[derive(Copy, Default)]
pub struct Stream {
    /// Whether the caller had been refused before.
    pub returned: bool,
    /// Whether another endpoint went on with it.
    pub resumed: bool,
    /// The time to the first event.
    pub first: Option<Duration>,
    /// The target of that time.
    pub target: Option<Duration>,
    /// The longest gap.
    pub gap: Option<Duration>,
    /// The longest gap that is on time.
    pub target_gap: Option<Duration>,
}

/// What happened to a stream's group around its longest gap.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "the observations are independent of each other"
)]
pub struct Surroundings {
    /// Demand shifted.
    pub shift: bool,
    /// An expert map came in force.
    pub map: bool,
    /// The group broke.
    pub broken: bool,
    /// A rank was slow.
    pub slow: bool,
    /// The used part of the slots.
    pub fill: Option<f64>,
    /// The part of the slots that requests might use.
    pub limit: Option<f64>,
}

impl Surroundings {
    fn is_full(&self) -> bool {
        self.fill
            .is_some_and(|fill| fill >= self.limit.unwrap_or(HIGH_FILL))
    }
}

impl Cause {
    /// Returns why a stream is late; `None` if it is on time. A shift of demand goes before
    /// the map that answers it, and failures go before both, since they cause rounds too.
    #[must_use]
    pub fn of_late(stream: &Stream, around: &Surroundings) -> Option<Self> {
        let exceeds = |time: Option<Duration>, target: Option<Duration>| {
            time.zip(target).is_some_and(|(time, target)| time > target)
        };
        if stream.returned {
            return Some(Self::Returned);
        }
        if exceeds(stream.first, stream.target) {
            return Some(Self::First);
        }
        if !exceeds(stream.gap, stream.target_gap) {
            return None;
        }
        let causes = [
            (around.broken, Self::Broken),
            (around.slow, Self::Slow),
            (stream.resumed, Self::Broken),
            (around.shift, Self::Shift),
            (around.map, Self::Map),
            (around.is_full(), Self::Fill),
        ];
        let found = causes.into_iter().find(|(holds, _)| *holds);
        Some(found.map_or(Self::Gap, |(_, cause)| cause))
    }

    /// Returns why a request was refused, from the cause that its line states, or else from
    /// the outcome and whether it has waited.
    #[must_use]
    pub fn of_refusal(stated: Option<&str>, outcome: &str, waited: bool) -> Self {
        match (stated, outcome) {
            (Some("hopeless"), _) => Self::Hopeless,
            (Some("expired"), _) => Self::Expired,
            (Some("full"), _) => Self::Full,
            (_, "the endpoints are busy") if waited => Self::Expired,
            (_, "the endpoints are busy") => Self::Hopeless,
            (_, "no endpoint took the request" | "the endpoints take no more requests for now") => {
                Self::NoEndpoint
            }
            _ => Self::Otherwise,
        }
    }
}
