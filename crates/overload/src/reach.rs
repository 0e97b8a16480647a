//! The part of a group that a request may fill.

use cactusnotch_derive::record;
use derive_more::Display;

use crate::{Ceiling, Class};

/// The part of the slots beyond the limit that returned callers and moved streams may
/// fill by their last try.
const BEYOND_PART: f64 = 0.5;

/// The part of a group that a request may fill.
#[record]
#[derive(Copy, Display)]
pub enum Reach {
    /// The limit less what the class leaves to more urgent ones.
    #[display("class")]
    Class(Class),
    /// The whole limit, for requests that would otherwise be refused.
    #[display("limit")]
    Limit,
    /// The limit and a part of the slots beyond it, for requests whose callers would otherwise
    /// be lost. They lengthen the passes of all streams that run.
    #[display("slots")]
    Slots,
}

impl Reach {
    /// Returns the ceiling under a limit of the group, if each class leaves the fraction
    /// `reserve` of it to each more urgent one.
    #[must_use]
    pub fn ceiling(self, limit: Ceiling, reserve: f64) -> Ceiling {
        match self {
            Self::Class(class) => class.ceiling(limit, reserve),
            Self::Limit => limit,
            Self::Slots => {
                let limit = limit.per_slot();
                Ceiling::new(limit + BEYOND_PART * (1.0 - limit))
            }
        }
    }
}
