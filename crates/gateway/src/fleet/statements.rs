//! What endpoints say of themselves, and what other entries say of it.

use std::time::Duration;

use cactusnotch_base::clock::Instant;

use super::Fleet;
use crate::endpoint::Endpoint;
use cactusnotch_throttle::limits::{Change, Report};
use cactusnotch_throttle::{Header, Headers};

/// What an answer has changed in what is believed of its endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct Update {
    /// Its limit.
    pub(crate) limit: Option<Change>,
    /// The rest that it is granted from now on.
    pub(crate) back_off: Option<Duration>,
    /// Whether its rest is over.
    pub(crate) is_back_off_over: bool,
    /// Whether it leaves.
    pub(crate) leaves: bool,
}

impl Fleet {
    /// Takes what an endpoint says of itself in its answer to a request that was sent at
    /// `sent`, and whether it `ran` that.
    pub(crate) fn apply_statement(
        &mut self,
        endpoint: &Endpoint,
        statement: &Headers,
        ran: bool,
        sent: Instant,
        now: Instant,
    ) -> Update {
        let instance = endpoint.instance.as_str();
        let mut update = Update {
            limit: self
                .limits
                .apply_headers(instance, statement, ran, sent, now),
            leaves: statement.leaving && self.record_leaving(endpoint, now),
            ..Update::default()
        };
        match statement.backoff {
            Header::Value(rest) => update.back_off = self.rests.request(instance, rest, now),
            Header::Absent => update.is_back_off_over = self.rests.record_answer(instance, sent),
            Header::Invalid => {}
        }
        if update != Update::default() {
            self.refresh_withheld(instance);
        }
        update
    }

    /// Takes what another entry says of an endpoint's limit.
    pub(crate) fn apply_limit_report(&mut self, report: &Report, now: Instant) -> Option<Change> {
        let limits = &mut self.limits;
        let change = limits.apply_report(&report.endpoint, report.limit, report.at, now)?;
        self.refresh_withheld(&report.endpoint);
        Some(change)
    }

    /// Returns what other entries may need to know of limits.
    pub(crate) fn limit_reports(&self, now: Instant) -> impl Iterator<Item = Report> {
        self.limits.reports(now)
    }

    /// Takes the hosts of all entries, which share limits.
    pub(crate) fn set_entries(&mut self, entries: &[&str], now: Instant) {
        let limits = self.limits.set_entries(entries, now);
        let cold = self.cold.set_entries(entries, now);
        if limits || cold {
            self.refresh_all_withheld();
        }
    }

    /// Forgets limits and rests of which nothing has been heard for long.
    pub(crate) fn expire_statements(&mut self, now: Instant) {
        let limits = self.limits.expire(now);
        let rests = self.rests.expire(now);
        self.expire_cold_starts(now);
        if limits || rests {
            self.refresh_all_withheld();
        }
    }

    /// Takes that an endpoint says that it leaves; tells whether that was not known.
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

    /// Fits the choice of all endpoints to what they have said.
    fn refresh_all_withheld(&mut self) {
        let known = self.iter().map(|endpoint| endpoint.instance.clone());
        let known: Vec<_> = known.collect();
        for instance in known {
            self.refresh_withheld(&instance);
        }
    }

    /// Fits the choice of an endpoint to what it has said. One whose limit this entry shares is
    /// used for as long, also if it belongs to a large service and wasn't chosen: few others
    /// share it.
    pub(super) fn refresh_withheld(&mut self, instance: &str) {
        let is_shared = self.limits.shares(instance);
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
