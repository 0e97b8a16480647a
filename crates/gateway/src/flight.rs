//! Handles one request, from its head to the end of its response.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use cactusnotch_base::clock;
use cactusnotch_base::name;
use cactusnotch_route::choice;
use cactusnotch_telemetry::metric;
use http::{Request, Response, StatusCode, header};
use hyper::body::Incoming;
use rand::Rng;

use crate::account::{self, Ended};
use crate::answer::{self, Read};
use crate::body::Outgoing;
use crate::caller_timeout::RETURNED_WAIT;
use crate::crash;
use crate::decide::{Failure, Lifecycle, Next};
use crate::delivery::Receipt;
use crate::dialect::Dialect;
use crate::endpoint::Endpoint;
use crate::exchange::{self, Failed, Reply, Unserved};
use crate::in_flight::InFlight;
use crate::intake;
use crate::knowledge::SharedState;
use crate::pieces;
use crate::pump::Pump;
use crate::refusal::Refusal;
use crate::request::Call;
use crate::response;
use crate::route::RetryPolicy;
use crate::running::Running;
use crate::waiting::{self, Unstarted};

/// The interval at which a waiting request checks for a free slot.
const POLL_INTERVAL: Duration = Duration::from_millis(40);

/// Handles one request.
pub(crate) async fn handle<D: Dialect>(
    shared: Rc<SharedState>,
    incoming: Request<Incoming>,
    receipt: Receipt,
) -> Response<Outgoing> {
    let arrived = clock::now();
    let guard = InFlight::new(&shared);
    let call = match intake::admit::<D>(&shared, incoming, arrived).await {
        Ok(call) => call,
        Err((refusal, id)) => {
            account::log_refused(&shared, id.as_deref(), refusal, arrived);
            receipt.set_due(arrived);
            receipt.hold(guard);
            let after = refusal.retry_after(Duration::ZERO, shared.rng.borrow_mut().random());
            return response::own::<D>(&shared, refusal, after);
        }
    };
    let service = call.resolved.service.clone();
    shared.retry_budgets.borrow_mut().record_request(&service);
    let lifecycle = Lifecycle::new(
        call.resolved.route.retry_policy,
        call.resolved.route.max_attempts,
    );
    let mut flight = Flight {
        shared: Rc::clone(&shared),
        call,
        lifecycle,
        tried: Vec::new(),
        waited: false,
        failure: None,
    };
    let deadline = flight.call.deadline;
    let outcome = tokio::select! {
        // A response that is ready takes precedence over the deadline.
        biased;
        outcome = flight.drive::<D>() => Some(outcome),
        () = shared.suspend_detector.wait_until(deadline) => None,
    };
    let outcome = outcome.unwrap_or_else(|| Err(flight.lifecycle.timed_out()));
    receipt.set_due(deadline);
    match outcome {
        Ok(Answered::Whole(head, body)) => {
            let response = response::relayed(&shared, head, Outgoing::Whole(Some(body)));
            let status = response.status();
            tokio::task::spawn_local(async move {
                receipt.written().await;
                flight.log(status, "whole");
                account::follow(&flight.call, &receipt).await;
                drop(guard);
            });
            response
        }
        Ok(Answered::Pieces(reply, first)) => flight.relay::<D>(*reply, first, guard, receipt),
        Err(refusal) => {
            receipt.hold(guard);
            flight.refuse::<D>(refusal)
        }
    }
}

/// An endpoint's response that is to be relayed.
enum Answered {
    Whole(http::response::Parts, Bytes),
    Pieces(Box<Reply>, Bytes),
}

/// A request in progress.
struct Flight {
    shared: Rc<SharedState>,
    call: Call,
    lifecycle: Lifecycle,
    tried: Vec<name::Endpoint>,
    /// Whether the request has waited for a free slot.
    waited: bool,
    /// An endpoint's error response, which is relayed unless another endpoint succeeds.
    /// The request has run, so it must not be reported as not run.
    failure: Option<(http::response::Parts, Bytes)>,
}

impl Flight {
    /// Sends the request to endpoints until one answers or none is left.
    async fn drive<D: Dialect>(&mut self) -> Result<Answered, Refusal> {
        loop {
            // Timers stand still while the host is suspended.
            if self.call.deadline.remaining().is_zero() {
                return Err(self.lifecycle.timed_out());
            }
            let (endpoint, running) = match self.choose().await {
                Ok(chosen) => chosen,
                Err(Unstarted::Unserved(unserved)) if self.may_wait(&unserved) => {
                    self.wait().await;
                    continue;
                }
                Err(unstarted) => return Err(self.refusal(&unstarted)),
            };
            self.tried.push(running.endpoint().clone());
            let mut failed = match self.send::<D>(&endpoint, running).await {
                Ok(reply) => match self.receive(reply).await {
                    Ok(answered) => return Ok(answered),
                    Err(failed) => failed,
                },
                Err(failed) => failed,
            };
            self.probe_crash(&mut failed).await;
            self.decide_next(&failed)?;
        }
    }

    /// Selects an endpoint; a request under overload control waits for its turn. A retry after
    /// a send doesn't wait.
    async fn choose(&self) -> Result<(Endpoint, Running), Unstarted> {
        let (shared, call, tried) = (&self.shared, &self.call, &self.tried);
        match call.class.filter(|_| self.lifecycle.sent() == 0) {
            Some(class) => {
                let entrant = waiting::entrant(shared, call, class);
                waiting::choose(shared, call, tried, &entrant).await
            }
            None => {
                exchange::choose(shared, call, tried, clock::now()).map_err(Unstarted::Unserved)
            }
        }
    }

    /// Returns the refusal of a request that was not started.
    fn refusal(&self, unstarted: &Unstarted) -> Refusal {
        let unsent = self.lifecycle.sent() == 0;
        match unstarted {
            Unstarted::Unserved(Unserved::Busy) if unsent => Refusal::Busy,
            Unstarted::Unserved(Unserved::Held) if unsent => Refusal::Held,
            Unstarted::Unserved(Unserved::Busy | Unserved::Held) => self.lifecycle.exhausted(),
            Unstarted::Unserved(Unserved::None(error)) => self.refusal_without_endpoint(error),
            Unstarted::Refused => Refusal::Busy,
            Unstarted::Stopping => Refusal::Stopping,
        }
    }

    /// Sends the request to an endpoint and waits for the head of the response. If the
    /// endpoint is lost and the request may be sent again, the wait ends early.
    async fn send<D: Dialect>(
        &mut self,
        endpoint: &Endpoint,
        running: Running,
    ) -> Result<Reply, Failed> {
        let (before, tried) = (self.lifecycle.sent(), running.endpoint().clone());
        let movable = self.call.resolved.route.retry_policy == RetryPolicy::Resume
            && before + 1 < self.call.resolved.route.max_attempts;
        let last = self.call.head.last_event;
        let (shared, call) = (&self.shared, &self.call);
        let sent = tokio::select! {
            biased;
            sent = exchange::send::<D>(shared, call, &mut self.lifecycle, endpoint, running, last) => Some(sent),
            () = exchange::wait_until_lost(shared, call, &self.tried, &tried), if movable => None,
        };
        sent.unwrap_or_else(|| {
            metrics::counter!(metric::GATEWAY_MOVED).increment(1);
            let unsent = self.lifecycle.sent() == before;
            let failure = if unsent {
                Failure::Unsent
            } else {
                Failure::Uncertain
            };
            Err(Failed::new(failure, "the endpoint is lost"))
        })
    }

    /// Receives the part of a response that must be validated before it is relayed.
    async fn receive(&mut self, mut reply: Reply) -> Result<Answered, Failed> {
        let retry_policy = self.call.resolved.route.retry_policy;
        if self.call.resolved.route.streaming && reply.head.status.is_success() {
            return Ok(Answered::Pieces(Box::new(reply), Bytes::new()));
        }
        let bytes = match answer::read(&mut reply.body).await {
            Read::Whole(bytes) => bytes,
            Read::Prefix(bytes) => return Ok(Answered::Pieces(Box::new(reply), bytes)),
            Read::Broken(error) => {
                return Err(Failed::broken(&mut reply.running, &error.to_string()));
            }
        };
        if crash::has_ended(&self.shared, &self.call, &reply.head, &reply.running).await {
            reply.running.record_failure();
            let cause = "the endpoint ended with the answer";
            return Err(Failed::new(Failure::Uncertain, cause));
        }
        let status = reply.head.status;
        let may_retry = self.lifecycle.sent() < self.call.resolved.route.max_attempts;
        if exchange::is_retryable(status, retry_policy) && may_retry {
            let cause = format!("the endpoint answered {status}");
            reply.lease.put_back(reply.keep_alive, clock::now());
            self.failure = Some((reply.head, bytes));
            return Err(Failed::new(Failure::Uncertain, &cause));
        }
        reply.running.record_piece(clock::now());
        if !status.is_server_error() {
            reply.running.record_complete();
        }
        let is_framed = !crash::is_unframed(&self.call, &reply.head);
        if is_framed && !status.is_server_error() {
            self.shared.note_served(&self.call);
        }
        if is_framed && status.is_success() {
            self.shared.note_parts_served(&self.call);
        }
        reply.lease.put_back(reply.keep_alive, clock::now());
        Ok(Answered::Whole(reply.head, bytes))
    }

    /// Waits until the next check for a free slot.
    async fn wait(&mut self) {
        if !std::mem::replace(&mut self.waited, true) {
            let id = self.call.head.id.as_deref();
            tracing::info!(id, "refused before, the request waits for room");
            metrics::counter!(metric::GATEWAY_WAITED).increment(1);
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }

    /// Returns whether a returning caller should keep waiting for a slot that may become
    /// free in time.
    fn may_wait(&self, unserved: &Unserved) -> bool {
        let last = self.call.arrived + RETURNED_WAIT;
        let may_free_up = match unserved {
            Unserved::Held => false,
            Unserved::None(choice::Error::Withheld { first, .. }) => {
                first.is_some_and(|first| first < last)
            }
            Unserved::Busy | Unserved::None(_) => true,
        };
        may_free_up
            && self.call.class.is_none()
            && self.call.has_returned
            && self.lifecycle.sent() == 0
            && clock::now() < last
    }

    /// Returns the refusal when no endpoint can be selected.
    fn refusal_without_endpoint(&self, error: &choice::Error) -> Refusal {
        let id = self.call.head.id.as_deref();
        let service = self.call.resolved.service.as_str();
        let evacuated = self.shared.evacuations.borrow().names().count();
        let homes = self
            .call
            .resolved
            .allowed_regions
            .as_ref()
            .map(|regions| regions.join(","));
        tracing::info!(id, service, %error, evacuated, homes, "no endpoint chosen");
        let exhausted = self.lifecycle.exhausted();
        let choice::Error::Withheld { first, .. } = *error else {
            return exhausted;
        };
        let wait = self.shared.record_throttled(id, service, first);
        match exhausted {
            Refusal::NotRun => Refusal::Throttled { wait },
            uncertain => uncertain,
        }
    }

    /// Probes whether the endpoint crashed during the request, before the request is sent
    /// to another one.
    async fn probe_crash(&self, failed: &mut Failed) {
        if let Some(broken_run) = failed.broken_run.take() {
            crash::probe(&self.shared, &self.call, broken_run).await;
        }
    }

    /// Decides how to continue after a send without a usable response.
    fn decide_next(&mut self, failed: &Failed) -> Result<(), Refusal> {
        let mut lifecycle = self.lifecycle;
        let service = &self.call.resolved.service;
        let mut asked = None;
        let next = lifecycle.after_failure(failed.failure, || {
            asked.insert(self.shared.charge_retry(service)).allows()
        });
        self.lifecycle = lifecycle;
        let id = self.call.head.id.as_deref();
        let endpoint = self.tried.last().map(name::Endpoint::as_str);
        tracing::info!(
            id,
            endpoint,
            service,
            content = %self.call.fingerprint(),
            parts = self.call.shared_part_ids(),
            cause = failed.cause,
            next = ?next,
            counted_requests = asked.map(|balance| balance.requests),
            charged_retries = asked.map(|balance| balance.retries),
            retry_credit = asked.map(|balance| balance.credit),
            "endpoint gave no answer"
        );
        match next {
            Next::Repeat | Next::Redirect => Ok(()),
            Next::Give(refusal) => Err(refusal),
        }
    }

    /// Starts to relay a stream or a long response.
    fn relay<D: Dialect>(
        self,
        reply: Reply,
        first: Bytes,
        guard: InFlight,
        receipt: Receipt,
    ) -> Response<Outgoing> {
        let (sender, receiver) = pieces::channel();
        let head = reply.head.clone();
        let length = head.headers.get(header::CONTENT_LENGTH);
        let remaining = length.and_then(|length| length.to_str().ok()?.parse().ok());
        let response = response::relayed(
            &self.shared,
            head,
            Outgoing::Pieces {
                receiver,
                remaining,
            },
        );
        let status = response.status().as_u16();
        let pump = Pump {
            shared: self.shared,
            call: self.call,
            lifecycle: self.lifecycle,
            tried: self.tried,
            sender,
            resumable: false,
            resumed: 0,
            received: first.len() as u64,
            gaps: None,
            reader: None,
        };
        tokio::task::spawn_local(async move {
            pump.run::<D>(reply, first, status, &receipt).await;
            drop(guard);
        });
        response
    }

    /// Responds to a caller whose request no endpoint has completed. Whether the request may
    /// have run decides about the promise in a refusal, wherever the refusal comes from.
    fn refuse<D: Dialect>(mut self, refusal: Refusal) -> Response<Outgoing> {
        let refusal = self.lifecycle.checked(refusal);
        if let Some((head, body)) = self.failure.take() {
            let outcome = format!("error response of an endpoint relayed after: {refusal}");
            self.log(head.status, &outcome);
            return response::relayed(&self.shared, head, Outgoing::Whole(Some(body)));
        }
        self.log(refusal.status(), &refusal.to_string());
        let remaining = self.call.deadline.remaining();
        let draw = self.shared.rng.borrow_mut().random();
        let after = refusal.retry_after(remaining, draw);
        response::own::<D>(&self.shared, refusal, after)
    }

    fn log(&self, status: StatusCode, outcome: &str) {
        let ended = Ended::new(status.as_u16(), outcome.to_owned());
        account::log_ended(&self.shared, &self.call, &self.tried, &ended);
    }
}
