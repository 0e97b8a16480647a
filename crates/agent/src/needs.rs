//! What the endpoint says of itself, and what follows for its runs.

use std::time::Duration;

use cactusnotch_base::clock::Instant;
use cactusnotch_base::name::Endpoint;
use cactusnotch_throttle::{Backoffs, Header, Headers, Limits, Rate};

/// What the endpoint says of itself, and what follows for its runs. All of them come by this
/// agent, so that it has the endpoint's whole limit.
#[derive(Debug)]
pub(crate) struct Needs {
    endpoint: String,
    limits: Limits,
    rests: Backoffs,
}

impl Needs {
    pub(crate) fn new(endpoint: &Endpoint, now: Instant) -> Self {
        let endpoint = endpoint.as_str();
        let mut limits = Limits::new(endpoint);
        limits.set_entries(&[endpoint], now);
        Self {
            endpoint: endpoint.to_owned(),
            limits,
            rests: Backoffs::default(),
        }
    }

    /// Takes what the endpoint says in its answer to a call made at `sent`, which it `ran` or
    /// not; tells whether that changes anything.
    pub(crate) fn take(
        &mut self,
        statement: &Headers,
        ran: bool,
        sent: Instant,
        now: Instant,
    ) -> bool {
        let endpoint = self.endpoint.as_str();
        let limit = self
            .limits
            .apply_headers(endpoint, statement, ran, sent, now);
        if let Some(change) = limit {
            let before = change.before.map(Rate::per_second);
            let limit = change.after.map(Rate::per_second);
            tracing::info!(endpoint, limit, before, "endpoint's limit");
        }
        let rest = match statement.backoff {
            Header::Value(rest) => self.rests.request(endpoint, rest, now),
            Header::Absent => {
                let is_rested = self.rests.record_answer(endpoint, sent);
                if is_rested {
                    tracing::info!(endpoint, "endpoint's rest is over");
                }
                None
            }
            Header::Invalid => None,
        };
        if let Some(rest) = rest {
            tracing::info!(endpoint, ?rest, "endpoint asks for rest");
        }
        limit.is_some() || rest.is_some()
    }

    /// Returns for how long the endpoint gets no run, if it gets none.
    pub(crate) fn withheld(&self, now: Instant) -> Option<Duration> {
        let limit = self.limits.withheld(&self.endpoint);
        let withheld = limit.max(self.rests.withheld(&self.endpoint))?;
        let left = withheld.ends_at()?.saturating_duration_since(now);
        (!left.is_zero()).then_some(left)
    }

    /// Takes that a run starts; tells whether others have to wait after it.
    pub(crate) fn start(&mut self, now: Instant) -> bool {
        self.limits.record_send(&self.endpoint, now);
        self.rests.record_send(&self.endpoint, now);
        self.withheld(now).is_some()
    }
}
