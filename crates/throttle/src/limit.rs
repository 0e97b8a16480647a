//! The rate limit of one endpoint, as an entry believes it.

use std::time::Duration;

use cactusnotch_base::clock::Instant;
use cactusnotch_route::Withheld;

use crate::Allotment;
use crate::Rate;

/// How long a word on a limit counts without another one. Holders hear the endpoint's answers
/// and pass them on; an entry that has been told nothing for so long asks the endpoint itself.
pub const REPORT_LIFETIME: Duration = Duration::from_mins(1);

/// The rate limit of one endpoint, as an entry believes it.
#[derive(Debug, Clone)]
pub struct Limit {
    /// The requests a second, none once the limit is over.
    rate: Option<Rate>,
    /// When the newest word was given: on a limit, when the answer came; on none, when the
    /// request was sent that was answered without one.
    at: Instant,
    allotment: Option<Allotment>,
    /// Since when the limit is shared as it is now.
    since: Instant,
    /// When the last request was sent since then.
    last: Option<Instant>,
}

impl Limit {
    /// Creates what the first word says.
    pub(crate) const fn new(rate: Option<Rate>, at: Instant) -> Self {
        Self {
            rate,
            at,
            allotment: None,
            since: at,
            last: None,
        }
    }

    /// Returns the requests a second, none if the limit is over.
    #[must_use]
    pub const fn rate(&self) -> Option<Rate> {
        self.rate
    }

    /// Returns when the newest word was given.
    #[must_use]
    pub const fn at(&self) -> Instant {
        self.at
    }

    /// Tells whether this entry shares the limit.
    #[must_use]
    pub fn is_shared(&self) -> bool {
        self.rate.is_some() && self.allotment.is_some_and(|allotment| allotment.is_holder)
    }

    /// Takes a word that is newer than the known one; of two at one moment the one on a limit
    /// counts.
    pub(crate) fn apply_report(&mut self, rate: Option<Rate>, at: Instant) -> bool {
        let is_newer = at > self.at || (at == self.at && rate.is_some());
        if is_newer {
            (self.rate, self.at) = (rate, at);
        }
        is_newer
    }

    /// Takes this entry's part of the limit from `now` on. One that held a part before goes on
    /// from its last request, so that a lower limit takes back what a higher one allowed.
    pub(crate) fn set_allotment(&mut self, allotment: Option<Allotment>, now: Instant) {
        let before = std::mem::replace(&mut self.allotment, allotment);
        let shares = |allotment: Option<Allotment>| allotment.is_some_and(|a| a.is_holder);
        if shares(allotment) && !shares(before) {
            (self.since, self.last) = (now, None);
        }
    }

    /// Returns until when the endpoint gets no request.
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
            self.since + offset
        } else {
            self.at + REPORT_LIFETIME + offset
        };
        Some(Withheld::Until(match self.last {
            Some(last) if is_holder => last + interval,
            Some(last) => first.max(last + interval),
            None => first,
        }))
    }

    /// Takes that a request is sent to the endpoint.
    pub(crate) const fn record_send(&mut self, now: Instant) {
        self.last = Some(now);
    }
}
