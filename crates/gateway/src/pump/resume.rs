//! Resumes a broken stream at another endpoint.

use cactusnotch_base::clock;
use cactusnotch_base::name;
use cactusnotch_events::Reader;
use http::response::Parts;
use http::{StatusCode, header};

use crate::crash;
use crate::decide::{Failure, Next};
use crate::dialect::Dialect;
use crate::endpoint::Endpoint;
use crate::exchange::{self, Failed, Reply};
use crate::gaps::Gaps;
use crate::pump::{self, Pump};
use crate::running::Running;
use crate::waiting;

/// Returns whether a response can continue a stream.
fn continues(head: &Parts) -> bool {
    head.status == StatusCode::OK && pump::is_event_stream(head)
}

impl Pump {
    /// Probes whether the endpoint crashed during the request.
    pub(super) async fn probe_crash(&self, failed: &mut Failed) {
        if let Some(broken_run) = failed.broken_run.take() {
            crash::probe(&self.shared, &self.call, broken_run).await;
        }
    }

    /// Resumes a stream after the event `last` at another endpoint.
    pub(super) async fn resume<D: Dialect>(
        &mut self,
        last: Option<u64>,
        mut failure: Failed,
    ) -> Option<Reply> {
        loop {
            self.probe_crash(&mut failure).await;
            let now = clock::now();
            let service = &self.call.resolved.service;
            let mut asked = None;
            let mut lifecycle = self.lifecycle;
            // The budget is charged when the stream is about to be sent: it may wait until then.
            let next = lifecycle.after_failure(failure.failure, || {
                asked.insert(self.shared.ask_retry_budget(service)).allows()
            });
            self.lifecycle = lifecycle;
            let id = self.call.head.id.as_deref();
            tracing::info!(
                id,
                endpoint = self.tried.last().map(name::Endpoint::as_str),
                service,
                content = %self.call.fingerprint(),
                parts = self.call.shared_part_ids(),
                after = last,
                events = self.reader.as_ref().map(Reader::events),
                cause = failure.cause,
                next = ?next,
                counted_requests = asked.map(|balance| balance.requests),
                charged_retries = asked.map(|balance| balance.retries),
                retry_credit = asked.map(|balance| balance.credit),
                "stream broken at its endpoint"
            );
            if matches!(next, Next::Give(_)) || now >= self.call.deadline {
                return None;
            }
            let (endpoint, running) = self.while_wanted(self.choose()).await??;
            if next == Next::Repeat && !self.charge_retry(&endpoint) {
                return None;
            }
            self.tried.push(running.endpoint().clone());
            match self.send::<D>(&endpoint, running, last).await? {
                Ok(reply) if continues(&reply.head) => {
                    self.resumed += 1;
                    self.log_resumed(&reply, last);
                    return Some(reply);
                }
                Ok(mut reply) => {
                    if reply.head.status.is_success() {
                        reply.running.record_failure();
                    }
                    let cause =
                        format!("the endpoint answered {} and no stream", reply.head.status);
                    failure = Failed::new(Failure::Uncertain, &cause);
                }
                Err(failed) => failure = failed,
            }
        }
    }

    /// Logs the response that continues the stream.
    fn log_resumed(&self, reply: &Reply, last: Option<u64>) {
        let header = |name| {
            reply
                .head
                .headers
                .get(name)
                .and_then(|value| value.to_str().ok())
        };
        tracing::info!(
            id = self.call.head.id.as_deref(),
            endpoint = reply.running.endpoint().as_str(),
            after = last,
            status = reply.head.status.as_u16(),
            media_type = header(header::CONTENT_TYPE),
            length = header(header::CONTENT_LENGTH),
            transfer_encoding = header(header::TRANSFER_ENCODING),
            "stream resumed"
        );
    }

    /// Selects an endpoint to resume the stream at; under overload control the stream waits for
    /// its turn.
    async fn choose(&self) -> Option<(Endpoint, Running)> {
        let (shared, call, tried) = (&self.shared, &self.call, &self.tried);
        let Some(class) = call.class else {
            return exchange::choose(shared, call, tried, clock::now()).ok();
        };
        let last_event = self.gaps.as_ref().map_or(call.arrived, Gaps::last);
        let entrant = waiting::moved(call, class, last_event);
        waiting::choose(shared, call, tried, &entrant).await.ok()
    }

    /// Sends the stream to an endpoint; returns `None` if it is no longer wanted.
    async fn send<D: Dialect>(
        &mut self,
        endpoint: &Endpoint,
        running: Running,
        last: Option<u64>,
    ) -> Option<Result<Reply, Failed>> {
        let mut lifecycle = self.lifecycle;
        let (shared, call) = (&self.shared, &self.call);
        let sending = exchange::send::<D>(shared, call, &mut lifecycle, endpoint, running, last);
        let sent = self.while_wanted(sending).await;
        self.lifecycle = lifecycle;
        sent
    }

    /// Runs `step` until the caller disconnects or the deadline passes, in which case it returns
    /// `None`.
    async fn while_wanted<T>(&self, step: impl Future<Output = T>) -> Option<T> {
        tokio::select! {
            biased;
            () = self.sender.closed() => None,
            done = step => Some(done),
            () = self.shared.suspend_detector.wait_until(self.call.deadline) => None,
        }
    }

    /// Charges the retry at `endpoint` to the budget; returns whether the budget allowed it.
    fn charge_retry(&self, endpoint: &Endpoint) -> bool {
        let service = &self.call.resolved.service;
        let balance = self.shared.charge_retry(service);
        tracing::info!(
            id = self.call.head.id.as_deref(),
            service,
            endpoint = endpoint.id,
            allowed = balance.allows(),
            counted_requests = balance.requests,
            charged_retries = balance.retries,
            retry_credit = balance.credit,
            "stream charged to the retry budget"
        );
        balance.allows()
    }
}
