//! The allotment of an endpoint's rate limit to one entry.
//!
//! A rate limit applies to all entries together. Equal allotments for all entries bound the sum
//! only if there are few entries, since each may send one request at any moment. The limit is
//! therefore divided among the first entries in the endpoint's rendezvous order, its holders,
//! whose number depends on the endpoint's [`Tolerance`]. Entries agree on the holders without
//! messages because they have the same list of entries. While the lists differ, additional
//! entries may use an allotment, for which `SPARE_HOLDERS` leaves a margin.

use std::time::Duration;

use cactusnotch_derive::record;
use cactusnotch_route::rendezvous;

use crate::{Rate, Tolerance};

/// The number of entries beyond the holders that may also act as holders while the lists of
/// entries differ.
const SPARE_HOLDERS: usize = 2;
/// The minimum rate, in requests per second, at which an endpoint is sent requests. The end of
/// a limit is only visible in the endpoint's responses, and a limit may be zero.
const PROBE_RATE: f64 = 0.25;

/// The allotment of an endpoint's rate limit to one entry.
#[record]
#[derive(Copy)]
pub struct Allotment {
    /// Whether the entry is one of the holders, which share the limit. An entry that is not may
    /// only probe whether the limit has ended, after a long time without a report.
    pub is_holder: bool,
    /// The minimum time between two requests.
    pub interval: Duration,
    /// The delay of the entry's first request, which spreads the requests of all entries evenly.
    pub offset: Duration,
}

impl Allotment {
    /// Returns the allotment of `rate` at `endpoint` to the entry `me`, or `None` if `entries`
    /// does not contain it. Uses the tolerance of endpoints that announce a limit.
    #[must_use]
    pub fn of<S: AsRef<str>>(me: &str, entries: &[S], endpoint: &str, rate: Rate) -> Option<Self> {
        Self::with_tolerance(Tolerance::LIMITED, me, entries, endpoint, rate)
    }

    /// Like [`Allotment::of`], with the given tolerance.
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
        let holders = holder_count(tolerance, entries.len(), rate);
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

/// Returns the mean time between two requests of all entries together.
#[must_use]
pub fn spacing(rate: Rate) -> Duration {
    Duration::from_secs_f64(effective_rate(rate).recip())
}

/// Returns the rate in requests per second at which requests are sent.
const fn effective_rate(rate: Rate) -> f64 {
    rate.per_second().max(PROBE_RATE)
}

/// Returns how many of `entries` share a limit: the maximum that stays within the tolerance for
/// any timing of their requests, including [`SPARE_HOLDERS`] additional entries if possible.
fn holder_count(tolerance: Tolerance, entries: usize, rate: Rate) -> usize {
    let tolerated = tolerance.max_requests(rate);
    let fits = |&holders: &usize, spare: usize| {
        f64::from(number(holders + spare)) * max_per_holder(tolerance, holders, rate) <= tolerated
    };
    let with_spare = |spare| (1..=entries).rev().find(|holders| fits(holders, spare));
    (0..=SPARE_HOLDERS).rev().find_map(with_spare).unwrap_or(1)
}

/// Returns the maximum number of requests that one of `holders` can send within a window.
fn max_per_holder(tolerance: Tolerance, holders: usize, rate: Rate) -> f64 {
    let allotment = effective_rate(rate) / f64::from(number(holders));
    (allotment * tolerance.window.as_secs_f64()).floor() + 1.0
}

fn number(entries: usize) -> u32 {
    u32::try_from(entries).unwrap_or(u32::MAX)
}
