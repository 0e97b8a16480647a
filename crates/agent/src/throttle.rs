//! The rate limit and back-off that the endpoint requests in its answers.

use std::time::Duration;

use cactusnotch_base::clock::Instant;
use cactusnotch_base::name::Endpoint;
use cactusnotch_throttle::{Backoffs, Header, Headers, Limits, Rate};

/// The rate limit and back-off that the endpoint requests in its answers. All runs pass through
/// this agent, so it holds the endpoint's whole limit.
#[derive(Debug)]
pub(crate) struct Throttle {
    endpoint: String,
    limits: Limits,
    backoffs: Backoffs,
}

impl Throttle {
    pub(crate) fn new(endpoint: &Endpoint, now: Instant) -> Self {
        let endpoint = endpoint.as_str();
        let mut limits = Limits::new(endpoint);
        limits.set_entries(&[endpoint], now);
        Self {
            endpoint: endpoint.to_owned(),
            limits,
            backoffs: Backoffs::default(),
        }
    }

    /// Applies the headers of an answer to a call made at `sent`. `ran` states whether the
    /// endpoint accepted the call. Returns whether the rate limit or the back-off changed.
    pub(crate) fn apply_headers(
        &mut self,
        headers: &Headers,
        ran: bool,
        sent: Instant,
        now: Instant,
    ) -> bool {
        let endpoint = self.endpoint.as_str();
        let limit = self.limits.apply_headers(endpoint, headers, ran, sent, now);
        if let Some(change) = limit {
            let before = change.before.map(Rate::per_second);
            let limit = change.after.map(Rate::per_second);
            tracing::info!(endpoint, limit, before, "endpoint's limit");
        }
        let backoff = match headers.backoff {
            Header::Value(backoff) => self.backoffs.request(endpoint, backoff, now),
            Header::Absent => {
                let has_ended = self.backoffs.record_answer(endpoint, sent);
                if has_ended {
                    tracing::info!(endpoint, "endpoint's rest is over");
                }
                None
            }
            Header::Invalid => None,
        };
        if let Some(backoff) = backoff {
            tracing::info!(endpoint, rest = ?backoff, "endpoint asks for rest");
        }
        limit.is_some() || backoff.is_some()
    }

    /// Returns how long runs are withheld from the endpoint, if they are.
    pub(crate) fn withheld(&self, now: Instant) -> Option<Duration> {
        let limit = self.limits.withheld(&self.endpoint);
        let withheld = limit.max(self.backoffs.withheld(&self.endpoint))?;
        let remaining = withheld.ends_at()?.saturating_duration_since(now);
        (!remaining.is_zero()).then_some(remaining)
    }

    /// Records the start of a run. Returns whether further runs are withheld after it.
    pub(crate) fn record_start(&mut self, now: Instant) -> bool {
        self.limits.record_send(&self.endpoint, now);
        self.backoffs.record_send(&self.endpoint, now);
        self.withheld(now).is_some()
    }
}
