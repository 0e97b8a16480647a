//! Handles the self-reports of endpoints.

use std::time::Duration;

use cactusnotch_base::clock::{self, Instant};
use cactusnotch_telemetry::metric;
use rand::seq::IteratorRandom;

use super::SharedState;
use crate::dialect::ResponseInfo;
use crate::endpoint::Endpoint;
use crate::fleet::{Exclusions, Update};
use crate::journal::millis;
use crate::notifications::Notification;
use cactusnotch_throttle::Rate;
use cactusnotch_throttle::allotment;
use cactusnotch_throttle::limits::{Change, Report};
use cactusnotch_throttle::{Header, Headers};

/// Limit of rate-limit reports in a datagram. With about 50 bytes each, one datagram per half
/// second takes a quarter of an entry's budget for control traffic.
const REPORTS_MAX: usize = 16;

impl SharedState {
    /// Applies the self-report in an endpoint's answer to a request that was sent at `sent`,
    /// and notifies other entries of a changed rate limit.
    pub(crate) fn apply_headers(
        &self,
        endpoint: &Endpoint,
        info: &ResponseInfo,
        sent: Option<Instant>,
        now: Instant,
    ) {
        self.warn_unreadable(endpoint, &info.statement);
        let ran = info.signed && !info.refused && !info.foreign;
        let sent = sent.unwrap_or(now);
        let mut fleet = self.fleet.borrow_mut();
        let update = fleet.apply_headers(endpoint, &info.statement, ran, sent, now);
        drop(fleet);
        log_update(endpoint, &update, &info.statement);
        let Some(change) = update.limit else {
            return;
        };
        let report = Report {
            endpoint: endpoint.instance.clone(),
            limit: change.after,
            at: if change.after.is_some() { now } else { sent },
        };
        self.log_limit(&report, change, "its answer", now);
        if change.is_urgent() {
            self.notifications
                .broadcast(Notification::Limits(vec![report]));
        }
    }

    /// Applies other entries' reports of endpoints' rate limits.
    pub(crate) fn apply_limit_reports(&self, reports: &[Report], now: Instant) {
        for report in reports {
            let change = self.fleet.borrow_mut().apply_limit_report(report, now);
            if let Some(change) = change {
                self.log_limit(report, change, "another entry", now);
            }
        }
    }

    /// Sends some rate limits to a random entry, for entries that were not running, suspended
    /// or cut off when the limits changed.
    pub(crate) fn gossip_limits(&self, now: Instant) {
        let fleet = self.fleet.borrow();
        let mut rng = self.rng.borrow_mut();
        let reports = fleet
            .limit_reports(now)
            .choose_multiple(&mut *rng, REPORTS_MAX);
        if !reports.is_empty() {
            self.notifications
                .send_to_any(Notification::Limits(reports));
        }
    }

    /// Records that a request is refused because all endpoints of `service` that could run it
    /// currently get no requests; `first` is the time at which the first of them may get one.
    /// Returns how long the caller should back off.
    pub(crate) fn record_throttled(
        &self,
        id: Option<&str>,
        service: &str,
        first: Option<Instant>,
    ) -> Duration {
        let now = clock::now();
        let fleet = self.fleet.borrow();
        let Exclusions {
            resting,
            limited,
            cold,
            shared,
            rate,
        } = fleet.exclusions(service, now);
        let own = first.filter(|_| resting + shared > 0);
        let own = own.map(|first| first.saturating_duration_since(now));
        // The caller may reach another entry that has an allotment of these limits.
        let other = Rate::new(rate).filter(|_| limited + cold > shared);
        let other = other.map(allotment::spacing);
        let wait = own.into_iter().chain(other).min().unwrap_or_default();
        tracing::info!(
            id,
            service,
            resting,
            limited,
            cold,
            shared,
            rate,
            wait_ms = millis(wait),
            "request kept from endpoints that take no more"
        );
        metrics::counter!(metric::GATEWAY_THROTTLED).increment(1);
        wait
    }

    /// Removes expired limits, and divides limits among the entries if all of them have been
    /// listed.
    pub(super) fn maintain_throttling(&self, known: bool, now: Instant) {
        let mut fleet = self.fleet.borrow_mut();
        fleet.expire_throttling(now);
        if known {
            fleet.set_entries(&self.peers.borrow().hosts(), now);
        }
        drop(fleet);
        self.gauge(now);
    }

    fn log_limit(&self, report: &Report, change: Change, source: &str, now: Instant) {
        let ago = millis(now.saturating_duration_since(report.at));
        let rate = |limit: Option<Rate>| limit.map(Rate::per_second);
        let (before, limit) = (rate(change.before), rate(change.after));
        let endpoint = report.endpoint.as_str();
        let shared = self.fleet.borrow().shares_limit(endpoint);
        tracing::info!(
            endpoint,
            limit,
            before,
            source,
            ago_ms = ago,
            shared,
            "endpoint's limit"
        );
    }

    /// Logs an unreadable value in a self-report, once per endpoint and value.
    fn warn_unreadable(&self, endpoint: &Endpoint, headers: &Headers) {
        let limit = (headers.limit == Header::Invalid).then_some("limit");
        let backoff = (headers.backoff == Header::Invalid).then_some("rest");
        for what in limit.into_iter().chain(backoff) {
            if self
                .reported_errors
                .borrow_mut()
                .is_new(&endpoint.instance, what)
            {
                let endpoint = endpoint.id.as_str();
                tracing::warn!(
                    endpoint,
                    what,
                    "endpoint says something of itself that is no number"
                );
            }
        }
    }

    fn gauge(&self, now: Instant) {
        let fleet = self.fleet.borrow();
        let number = |endpoints: usize| u32::try_from(endpoints).unwrap_or(u32::MAX);
        metrics::gauge!(metric::GATEWAY_LIMITED).set(number(fleet.limited()));
        metrics::gauge!(metric::GATEWAY_COLD).set(number(fleet.warming_up()));
        metrics::gauge!(metric::GATEWAY_RESTING).set(number(fleet.backing_off(now)));
    }
}

/// Logs the changes of an endpoint's back-off and leaving state.
fn log_update(endpoint: &Endpoint, update: &Update, headers: &Headers) {
    let endpoint = endpoint.id.as_str();
    if let Some(backoff) = update.backoff {
        let asked_ms = match headers.backoff {
            Header::Value(requested) => Some(millis(requested)),
            Header::Absent | Header::Invalid => None,
        };
        tracing::info!(
            endpoint,
            ms = millis(backoff),
            asked_ms,
            "endpoint asks for rest"
        );
    }
    if update.is_backoff_over {
        tracing::info!(endpoint, "endpoint's rest is over");
    }
    if update.leaves {
        tracing::info!(endpoint, "endpoint says that it leaves");
    }
}
