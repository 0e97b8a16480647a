//! The rate limits that endpoints announce.

use std::time::Duration;

use cactusnotch_base::Table;
use cactusnotch_base::clock::Instant;
use cactusnotch_route::Withheld;

use crate::limit::{Limit, REPORT_LIFETIME};
use crate::{Allotment, Header, Headers, Rate, Tolerance};

/// How long the limit of an endpoint is kept without a report.
const RETENTION: Duration = Duration::from_mins(10);
/// The maximum number of cached endpoints; all of 1,300 may announce a limit.
const ROWS_MAX: usize = 2_048;

/// The rate limits that endpoints announce, by endpoint name.
#[derive(Debug)]
pub struct Limits {
    host: String,
    tolerance: Tolerance,
    /// The hosts of all entries, empty until they are received.
    entries: Vec<String>,
    rows: Table<String, Limit>,
}

/// A change of an endpoint's limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Change {
    /// The previous limit.
    pub before: Option<Rate>,
    /// The new limit.
    pub after: Option<Rate>,
}

impl Change {
    /// Returns whether other entries must be notified at once, since they would otherwise send
    /// too many requests, or none.
    #[must_use]
    pub fn is_urgent(self) -> bool {
        match (self.before, self.after) {
            (Some(before), Some(after)) => after < before,
            _ => true,
        }
    }
}

/// An entry's report of an endpoint's limit to other entries.
#[derive(Debug, Clone, PartialEq)]
pub struct Report {
    /// The endpoint.
    pub endpoint: String,
    /// The limit, or `None` if it has ended.
    pub limit: Option<Rate>,
    /// When it was observed.
    pub at: Instant,
}

impl Limits {
    /// Creates the table of the entry on `host`.
    #[must_use]
    pub fn new(host: &str) -> Self {
        Self::with_tolerance(Tolerance::LIMITED, host)
    }

    /// Creates the table of the entry on `host` with the endpoints' tolerance.
    #[must_use]
    pub fn with_tolerance(tolerance: Tolerance, host: &str) -> Self {
        Self {
            host: host.to_owned(),
            tolerance,
            entries: Vec::new(),
            rows: Table::new(),
        }
    }

    /// Sets the hosts of all entries, among which limits are divided; returns whether they have
    /// changed.
    pub fn set_entries(&mut self, entries: &[&str], now: Instant) -> bool {
        let mut entries: Vec<_> = entries.iter().map(|&entry| entry.to_owned()).collect();
        entries.sort_unstable();
        if entries == self.entries {
            return false;
        }
        self.entries = entries;
        let (tolerance, host, entries) = (self.tolerance, &self.host, &self.entries);
        for (endpoint, row) in self.rows.iter_mut() {
            let allot = |rate| Allotment::with_tolerance(tolerance, host, entries, endpoint, rate);
            row.set_allotment(row.rate().and_then(allot), now);
        }
        true
    }

    /// Applies the headers of a response to a request that was sent at `sent`. A limit ends if a
    /// response has no such header, but only if the endpoint `ran` the request, since a refusal
    /// may omit the header, and only if the request was sent after the limit was last
    /// announced.
    pub fn apply_headers(
        &mut self,
        endpoint: &str,
        headers: &Headers,
        ran: bool,
        sent: Instant,
        now: Instant,
    ) -> Option<Change> {
        match headers.limit {
            Header::Value(rate) => self.apply_report(endpoint, Some(rate), now, now),
            Header::Absent if ran && self.rows.contains(endpoint) => {
                self.apply_report(endpoint, None, sent, now)
            }
            Header::Absent | Header::Invalid => None,
        }
    }

    /// Applies a report that the endpoint had the given limit, or none, at the time `at`. Returns
    /// the change, if there is one.
    pub fn apply_report(
        &mut self,
        endpoint: &str,
        limit: Option<Rate>,
        at: Instant,
        now: Instant,
    ) -> Option<Change> {
        if now.saturating_duration_since(at) > REPORT_LIFETIME {
            return None;
        }
        let before = self.rate(endpoint);
        if let Some(row) = self.rows.get_mut(endpoint) {
            if !row.apply_report(limit, at) {
                return None;
            }
        } else {
            self.evict_if_full();
            let row = Limit::new(limit, at);
            self.rows.insert(endpoint.to_owned(), row);
        }
        if before == limit {
            return None;
        }
        let (tolerance, host, entries) = (self.tolerance, &self.host, &self.entries);
        let allot = |rate| Allotment::with_tolerance(tolerance, host, entries, endpoint, rate);
        let allotment = limit.and_then(allot);
        if let Some(row) = self.rows.get_mut(endpoint) {
            row.set_allotment(allotment, at);
        }
        Some(Change {
            before,
            after: limit,
        })
    }

    /// Removes the limit of an endpoint, whatever the age of its report.
    pub(crate) fn remove(&mut self, endpoint: &str) {
        self.rows.remove(endpoint);
    }

    /// Returns the limit of an endpoint, if it has one.
    #[must_use]
    pub fn rate(&self, endpoint: &str) -> Option<Rate> {
        self.rows.get(endpoint)?.rate()
    }

    /// Returns the number of endpoints with a limit.
    #[must_use]
    pub fn limited(&self) -> usize {
        let rows = self.rows.values();
        rows.filter(|row| row.rate().is_some()).count()
    }

    /// Returns whether this entry is a holder of an endpoint's limit.
    #[must_use]
    pub fn is_holder(&self, endpoint: &str) -> bool {
        self.rows.get(endpoint).is_some_and(Limit::is_holder)
    }

    /// Returns until when this entry withholds requests from an endpoint.
    #[must_use]
    pub fn withheld(&self, endpoint: &str) -> Option<Withheld> {
        self.rows.get(endpoint)?.withheld()
    }

    /// Records that a request is sent to an endpoint.
    pub fn record_send(&mut self, endpoint: &str, now: Instant) {
        if let Some(row) = self.rows.get_mut(endpoint) {
            row.record_send(now);
        }
    }

    /// Returns the reports that are still valid, to be sent to other entries.
    pub fn reports(&self, now: Instant) -> impl Iterator<Item = Report> {
        let is_valid = move |at| now.saturating_duration_since(at) <= REPORT_LIFETIME;
        let rows = self
            .rows
            .iter()
            .filter(move |(_, row)| is_valid(row.reported_at()));
        rows.map(|(endpoint, row)| Report {
            endpoint: endpoint.clone(),
            limit: row.rate(),
            at: row.reported_at(),
        })
    }

    /// Removes expired limits; returns whether there were any.
    pub fn expire(&mut self, now: Instant) -> bool {
        let before = self.rows.len();
        self.rows.retain(|_, row| {
            let retention = if row.rate().is_some() {
                RETENTION
            } else {
                REPORT_LIFETIME
            };
            now.saturating_duration_since(row.reported_at()) <= retention
        });
        self.rows.len() < before
    }

    /// Evicts the endpoint with the oldest report if the table is full.
    fn evict_if_full(&mut self) {
        if self.rows.len() < ROWS_MAX {
            return;
        }
        let oldest = self.rows.iter().min_by_key(|(_, row)| row.reported_at());
        if let Some(oldest) = oldest.map(|(endpoint, _)| endpoint.clone()) {
            self.rows.remove(&oldest);
        }
    }
}
