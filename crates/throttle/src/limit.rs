//! An entry's cached state of one endpoint's rate limit.

use std::time::Duration;

use cactusnotch_base::clock::Instant;
use cactusnotch_route::Withheld;

use crate::Allotment;
use crate::Rate;

/// How long a report of a limit is valid. Holders receive the endpoint's responses and forward
/// what these report. An entry without a report for this time probes the endpoint itself.
pub const REPORT_LIFETIME: Duration = Duration::from_mins(1);

/// An entry's cached state of one endpoint's rate limit.
#[derive(Debug, Clone)]
pub struct Limit {
    /// The limit, or `None` once it has ended.
    rate: Option<Rate>,
    /// The time of the newest report. For a limit this is the arrival of the response that
    /// announced it; for the end of a limit, the sending of the request whose response had none.
    reported_at: Instant,
    allotment: Option<Allotment>,
    /// Since when this entry has been a holder of the limit.
    held_since: Instant,
    /// When the last request since then was sent.
    last: Option<Instant>,
}

impl Limit {
    /// Creates the state from the first report.
    pub(crate) const fn new(rate: Option<Rate>, reported_at: Instant) -> Self {
        Self {
            rate,
            reported_at,
            allotment: None,
            held_since: reported_at,
            last: None,
        }
    }

    /// Returns the limit, or `None` if it has ended.
    #[must_use]
    pub const fn rate(&self) -> Option<Rate> {
        self.rate
    }

    /// Returns the time of the newest report.
    #[must_use]
    pub const fn reported_at(&self) -> Instant {
        self.reported_at
    }

    /// Returns whether this entry is a holder of the limit.
    #[must_use]
    pub fn is_holder(&self) -> bool {
        self.rate.is_some() && self.allotment.is_some_and(|allotment| allotment.is_holder)
    }

    /// Applies a report if it is newer than the current state, or as old and announces a limit.
    /// Returns whether it was applied.
    pub(crate) fn apply_report(&mut self, rate: Option<Rate>, at: Instant) -> bool {
        let is_newer = at > self.reported_at || (at == self.reported_at && rate.is_some());
        if is_newer {
            (self.rate, self.reported_at) = (rate, at);
        }
        is_newer
    }

    /// Sets this entry's allotment from `now` on. An entry that was a holder before continues
    /// from its last request: the longer interval of a lower limit also applies after a request
    /// that was sent under a higher limit.
    pub(crate) fn set_allotment(&mut self, allotment: Option<Allotment>, now: Instant) {
        let before = std::mem::replace(&mut self.allotment, allotment);
        let is_holder_of = |allotment: Option<Allotment>| allotment.is_some_and(|a| a.is_holder);
        if is_holder_of(allotment) && !is_holder_of(before) {
            (self.held_since, self.last) = (now, None);
        }
    }

    /// Returns until when this entry withholds requests from the endpoint.
    #[must_use]
    pub fn withheld(&self) -> Option<Withheld> {
        self.rate?;
        let Some(allotment) = self.allotment else {
            return Some(Withheld::Indefinitely);
        };
        let Allotment {
            is_holder,
            interval,
            offset,
        } = allotment;
        let first = if is_holder {
            self.held_since + offset
        } else {
            self.reported_at + REPORT_LIFETIME + offset
        };
        Some(Withheld::Until(match self.last {
            Some(last) if is_holder => last + interval,
            Some(last) => first.max(last + interval),
            None => first,
        }))
    }

    /// Records that a request is sent to the endpoint.
    pub(crate) const fn record_send(&mut self, now: Instant) {
        self.last = Some(now);
    }
}
