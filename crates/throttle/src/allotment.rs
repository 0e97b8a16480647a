//! The part of an endpoint's rate limit that one entry may use.
//!
//! A limit holds for all entries together. Equal parts for all of them bound the sum only while
//! they are few: each may send one request at any moment, which adds up to one an entry. So a
//! limit is divided among the first entries in the endpoint's rendezvous order, as many as an
//! endpoint in need bears. Entries agree on these without a message, since they know the same
//! list; one that another lacks for a while adds its own part, which [`SPARE`] allows for.

use std::time::Duration;

use cactusnotch_derive::record;
use cactusnotch_route::rendezvous;

use crate::{Rate, Tolerance};

/// The entries beyond the holders that may believe to be holders: lists of entries differ by
/// few for a while.
const SPARE: usize = 2;
/// The least rate at which an endpoint is sent requests. Only its answers tell that a limit
/// is over, and what it allows may be none.
const ASK_RATE: f64 = 0.25;

/// The part of an endpoint's rate limit that one entry may use.
#[record]
#[derive(Copy)]
pub struct Allotment {
    /// Whether it is one of the entries that share the limit. Another one may only ask whether
    /// the limit is over, once nobody has told it for long.
    pub is_holder: bool,
    /// The least time between two requests.
    pub interval: Duration,
    /// The entry's place in the order in which entries begin, as a time: their requests are
    /// evenly spread with it.
    pub offset: Duration,
}

impl Allotment {
    /// Returns the part of `rate` at `endpoint` that the entry `me` of `entries` has, or `None`
    /// if it is none of them. The endpoint bears what endpoints do that name a limit.
    #[must_use]
    pub fn of<S: AsRef<str>>(me: &str, entries: &[S], endpoint: &str, rate: Rate) -> Option<Self> {
        Self::with_tolerance(Tolerance::LIMITED, me, entries, endpoint, rate)
    }

    /// Returns the same at an endpoint that bears what `tolerance` says.
    #[must_use]
    pub fn with_tolerance<S: AsRef<str>>(
        tolerance: Tolerance,
        me: &str,
        entries: &[S],
        endpoint: &str,
        rate: Rate,
    ) -> Option<Self> {
        if !entries.iter().any(|entry| entry.as_ref() == me) {
            return None;
        }
        let holders = holders(tolerance, entries.len(), rate);
        let rank = rendezvous::rank(me, entries, endpoint);
        let is_holder = rank < holders;
        let spacing = spacing(rate);
        Some(Self {
            is_holder,
            interval: spacing * number(if is_holder { holders } else { entries.len() }),
            offset: spacing * number(rank + 1),
        })
    }
}

/// Returns the time between two requests of all entries together.
#[must_use]
pub fn spacing(rate: Rate) -> Duration {
    Duration::from_secs_f64(asked(rate).recip())
}

/// Returns the rate at which requests are sent.
const fn asked(rate: Rate) -> f64 {
    rate.per_second().max(ASK_RATE)
}

/// Returns how many of `entries` share the requests that an endpoint takes: as many as stay
/// within what it bears, with [`SPARE`] more, however their requests coincide.
fn holders(tolerance: Tolerance, entries: usize, rate: Rate) -> usize {
    let borne = tolerance.max_requests(rate);
    let fits = |&holders: &usize, spare: usize| {
        f64::from(number(holders + spare)) * most(tolerance, holders, rate) <= borne
    };
    let with_spare = |spare| (1..=entries).rev().find(|holders| fits(holders, spare));
    (0..=SPARE).rev().find_map(with_spare).unwrap_or(1)
}

/// Returns the most requests that one of `holders` can send within a window.
fn most(tolerance: Tolerance, holders: usize, rate: Rate) -> f64 {
    let part = asked(rate) / f64::from(number(holders));
    (part * tolerance.window.as_secs_f64()).floor() + 1.0
}

fn number(entries: usize) -> u32 {
    u32::try_from(entries).unwrap_or(u32::MAX)
}
