//! The endpoints that take fewer requests than usual, as they say themselves.

use std::time::Duration;

use cactusnotch_base::Table;
use cactusnotch_base::clock::Instant;
use cactusnotch_route::Withheld;

use crate::limit::{Limit, REPORT_LIFETIME};
use crate::{Allotment, Header, Headers, Rate, Tolerance};

/// How long a limit is believed of an endpoint that gets no request.
const FORGET_TIME: Duration = Duration::from_mins(10);
/// The most endpoints that are remembered: all of 1,300 may name a limit.
const ROWS_MAX: usize = 2_048;

/// The endpoints that take fewer requests than usual, by their names.
#[derive(Debug)]
pub struct Limits {
    host: String,
    tolerance: Tolerance,
    /// The hosts of all entries, none before they are known.
    entries: Vec<String>,
    rows: Table<String, Limit>,
}

/// A limit that is believed from now on instead of another.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Change {
    /// The limit before.
    pub before: Option<Rate>,
    /// The limit now.
    pub after: Option<Rate>,
}

impl Change {
    /// Tells whether other entries need to know of it at once: they would send too much, or
    /// nothing.
    #[must_use]
    pub fn is_urgent(self) -> bool {
        match (self.before, self.after) {
            (Some(before), Some(after)) => after < before,
            _ => true,
        }
    }
}

/// What one entry says to others of an endpoint's limit.
#[derive(Debug, Clone, PartialEq)]
pub struct Report {
    /// The endpoint.
    pub endpoint: String,
    /// The limit, if there is one.
    pub limit: Option<Rate>,
    /// When that was heard.
    pub at: Instant,
}

impl Limits {
    /// Creates the table of the entry on `host`.
    #[must_use]
    pub fn new(host: &str) -> Self {
        Self::with_tolerance(Tolerance::LIMITED, host)
    }

    /// Creates the table of the entry on `host` for endpoints that bear what `tolerance` says.
    #[must_use]
    pub fn with_tolerance(tolerance: Tolerance, host: &str) -> Self {
        Self {
            host: host.to_owned(),
            tolerance,
            entries: Vec::new(),
            rows: Table::new(),
        }
    }

    /// Takes the hosts of all entries, among which limits are divided; tells whether these
    /// are others than before.
    pub fn set_entries(&mut self, entries: &[&str], now: Instant) -> bool {
        let mut entries: Vec<_> = entries.iter().map(|&entry| entry.to_owned()).collect();
        entries.sort_unstable();
        if entries == self.entries {
            return false;
        }
        self.entries = entries;
        let (tolerance, host, entries) = (self.tolerance, &self.host, &self.entries);
        for (endpoint, row) in self.rows.iter_mut() {
            let part = |rate| Allotment::with_tolerance(tolerance, host, entries, endpoint, rate);
            row.set_allotment(row.rate().and_then(part), now);
        }
        true
    }

    /// Takes what an endpoint says in its answer to a request that was sent at `sent`. A limit
    /// is over only if the endpoint says nothing of it in an answer to what it `ran`, since it
    /// may turn requests away in more than one way, and only if that was sent after the limit
    /// had been named last.
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

    /// Takes that the endpoint was heard to have this limit, or none, at the moment `at`.
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
            self.make_room();
            let row = Limit::new(limit, at);
            self.rows.insert(endpoint.to_owned(), row);
        }
        if before == limit {
            return None;
        }
        let (tolerance, host, entries) = (self.tolerance, &self.host, &self.entries);
        let part = |rate| Allotment::with_tolerance(tolerance, host, entries, endpoint, rate);
        let allotment = limit.and_then(part);
        if let Some(row) = self.rows.get_mut(endpoint) {
            row.set_allotment(allotment, at);
        }
        Some(Change {
            before,
            after: limit,
        })
    }

    /// Returns the limit of an endpoint, if it has one.
    #[must_use]
    pub fn rate(&self, endpoint: &str) -> Option<Rate> {
        self.rows.get(endpoint)?.rate()
    }

    /// Returns how many endpoints have a limit.
    #[must_use]
    pub fn limited(&self) -> usize {
        let rows = self.rows.values();
        rows.filter(|row| row.rate().is_some()).count()
    }

    /// Tells whether this entry shares the limit of an endpoint.
    #[must_use]
    pub fn shares(&self, endpoint: &str) -> bool {
        self.rows.get(endpoint).is_some_and(Limit::is_shared)
    }

    /// Returns until when an endpoint gets no request from this entry.
    #[must_use]
    pub fn withheld(&self, endpoint: &str) -> Option<Withheld> {
        self.rows.get(endpoint)?.withheld()
    }

    /// Takes that a request is sent to an endpoint.
    pub fn record_send(&mut self, endpoint: &str, now: Instant) {
        if let Some(row) = self.rows.get_mut(endpoint) {
            row.record_send(now);
        }
    }

    /// Returns what other entries may need to know.
    pub fn reports(&self, now: Instant) -> impl Iterator<Item = Report> {
        let is_new = move |at| now.saturating_duration_since(at) <= REPORT_LIFETIME;
        let rows = self.rows.iter().filter(move |(_, row)| is_new(row.at()));
        rows.map(|(endpoint, row)| Report {
            endpoint: endpoint.clone(),
            limit: row.rate(),
            at: row.at(),
        })
    }

    /// Forgets what is past its time; tells whether there was any.
    pub fn expire(&mut self, now: Instant) -> bool {
        let before = self.rows.len();
        self.rows.retain(|_, row| {
            let most = if row.rate().is_some() {
                FORGET_TIME
            } else {
                REPORT_LIFETIME
            };
            now.saturating_duration_since(row.at()) <= most
        });
        self.rows.len() < before
    }

    /// Makes room for an endpoint, by the one of which nothing was heard for the longest.
    fn make_room(&mut self) {
        if self.rows.len() < ROWS_MAX {
            return;
        }
        let oldest = self.rows.iter().min_by_key(|(_, row)| row.at());
        if let Some(oldest) = oldest.map(|(endpoint, _)| endpoint.clone()) {
            self.rows.remove(&oldest);
        }
    }
}
