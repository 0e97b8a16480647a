//! Self-reports of endpoints, and reports of other entries about them.

use std::time::Duration;

use cactusnotch_base::clock::Instant;

use super::Fleet;
use crate::endpoint::Endpoint;
use cactusnotch_throttle::limits::{Change, Report};
use cactusnotch_throttle::{Header, Headers};

/// How an answer has changed the cached state of its endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct Update {
    /// The change of its rate limit.
    pub(crate) limit: Option<Change>,
    /// The back-off that starts now.
    pub(crate) backoff: Option<Duration>,
    /// Whether its back-off has ended.
    pub(crate) is_backoff_over: bool,
    /// Whether it has announced that it is leaving.
    pub(crate) leaves: bool,
}

impl Fleet {
    /// Applies the self-report in an endpoint's answer to a request that was sent at `sent`;
    /// `ran` states whether the endpoint ran the request.
    pub(crate) fn apply_headers(
        &mut self,
        endpoint: &Endpoint,
        headers: &Headers,
        ran: bool,
        sent: Instant,
        now: Instant,
    ) -> Update {
        let instance = endpoint.instance.as_str();
        let mut update = Update {
            limit: self.limits.apply_headers(instance, headers, ran, sent, now),
            leaves: headers.leaving && self.record_leaving(endpoint, now),
            ..Update::default()
        };
        match headers.backoff {
            Header::Value(time) => update.backoff = self.backoffs.request(instance, time, now),
            Header::Absent => update.is_backoff_over = self.backoffs.record_answer(instance, sent),
            Header::Invalid => {}
        }
        if update != Update::default() {
            self.refresh_withheld(instance);
        }
        update
    }

    /// Applies another entry's report of an endpoint's rate limit.
    pub(crate) fn apply_limit_report(&mut self, report: &Report, now: Instant) -> Option<Change> {
        let limits = &mut self.limits;
        let change = limits.apply_report(&report.endpoint, report.limit, report.at, now)?;
        self.refresh_withheld(&report.endpoint);
        Some(change)
    }

    /// Returns the rate limits to report to other entries.
    pub(crate) fn limit_reports(&self, now: Instant) -> impl Iterator<Item = Report> {
        self.limits.reports(now)
    }

    /// Sets the hosts of all entries, among which rate limits are divided.
    pub(crate) fn set_entries(&mut self, entries: &[&str], now: Instant) {
        let limits = self.limits.set_entries(entries, now);
        let warmups = self.warmups.set_entries(entries, now);
        if limits || warmups {
            self.refresh_all_withheld();
        }
    }

    /// Removes rate limits and back-offs that have not been reported for long, and ends the
    /// warm-up of endpoints whose time is over.
    pub(crate) fn expire_throttling(&mut self, now: Instant) {
        let limits = self.limits.expire(now);
        let backoffs = self.backoffs.expire(now);
        self.expire_cold_starts(now);
        if limits || backoffs {
            self.refresh_all_withheld();
        }
    }

    /// Records that an endpoint announced that it is leaving; returns whether that is new.
    fn record_leaving(&mut self, endpoint: &Endpoint, now: Instant) -> bool {
        let is_new = self.leaving_notices.add(endpoint, now);
        let known = self.rows.get_mut(&endpoint.id);
        let Some(row) = known.filter(|row| !row.endpoint.leaving) else {
            return is_new;
        };
        row.endpoint.leaving = true;
        self.refresh(&endpoint.service);
        true
    }

    /// Updates the routers with the limits and back-offs of all endpoints.
    fn refresh_all_withheld(&mut self) {
        let known = self.iter().map(|endpoint| endpoint.instance.clone());
        let known: Vec<_> = known.collect();
        for instance in known {
            self.refresh_withheld(&instance);
        }
    }

    /// Updates the routers with the limits and back-off of an endpoint. An endpoint of a large
    /// service of whose rate limit this entry has an allotment is used even outside the entry's
    /// subset, since few other entries have one.
    pub(super) fn refresh_withheld(&mut self, instance: &str) {
        let is_shared = self.limits.is_holder(instance);
        let mut changed = None;
        for (_, row) in self.rows.iter_mut() {
            if row.endpoint.instance == instance && row.shares_limit != is_shared {
                row.shares_limit = is_shared;
                changed = Some(row.endpoint.service.clone());
            }
        }
        if let Some(service) = changed {
            self.refresh(&service);
        }
        let incarnations = self.iter().filter(|endpoint| endpoint.instance == instance);
        let incarnations: Vec<_> = incarnations
            .map(|e| (e.service.clone(), e.id.clone()))
            .collect();
        for (service, id) in incarnations {
            self.withhold(&service, &id, instance);
        }
    }
}
