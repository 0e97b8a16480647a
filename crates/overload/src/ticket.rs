//! The position of a waiting request in the order of a queue.

use cactusnotch_base::clock::Instant;
use cactusnotch_derive::record;

use crate::{Class, Kind};

/// The position of a waiting request. Tickets compare in the order in which requests start:
/// by class, then first attempts before other kinds, then by latest start.
#[record]
#[derive(Copy, PartialOrd, Ord)]
pub struct Ticket {
    class: Class,
    /// Whether the request is not a first attempt.
    repeated: bool,
    latest_start: Instant,
    /// The number of the request in its queue, which tells apart requests that are otherwise
    /// equal.
    number: u64,
}

impl Ticket {
    pub(crate) fn new(class: Class, kind: Kind, latest_start: Instant, number: u64) -> Self {
        Self {
            class,
            repeated: kind != Kind::First,
            latest_start,
            number,
        }
    }

    /// Returns the class of the request.
    #[must_use]
    pub const fn class(&self) -> Class {
        self.class
    }

    /// Returns the latest time at which the request may start.
    #[must_use]
    pub const fn latest_start(&self) -> Instant {
        self.latest_start
    }
}
