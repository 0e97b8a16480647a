//! The course of one request, from its head to its final answer.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use cactusnotch_base::clock;
use cactusnotch_base::name;
use cactusnotch_route::choice;
use cactusnotch_telemetry::metric;
use http::{Request, Response, header};
use hyper::body::Incoming;
use rand::Rng;

use crate::account;
use crate::admission::RETURNED_WAIT;
use crate::answer::{self, Read};
use crate::body::Outgoing;
use crate::crash;
use crate::decide::{Failure, Lifecycle, Next};
use crate::dialect::Dialect;
use crate::endpoint::Endpoint;
use crate::exchange::{self, Failed, Reply, Unserved};
use crate::intake;
use crate::knowledge::SharedState;
use crate::pieces;
use crate::pump::Pump;
use crate::refusal::Refusal;
use crate::request::{self, Call};
use crate::route::RetryPolicy;
use crate::running::Running;

/// How often it is looked whether there is room.
const LOOK_AGAIN: Duration = Duration::from_millis(40);

/// Counts a request as in flight until it is dropped.
struct InFlight(Rc<SharedState>);

impl InFlight {
    fn new(shared: &Rc<SharedState>) -> Self {
        shared.in_flight.set(shared.in_flight.get() + 1);
        Self(Rc::clone(shared))
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0
            .in_flight
            .set(self.0.in_flight.get().saturating_sub(1));
    }
}

/// Answers one request.
pub(crate) async fn answer<D: Dialect>(
    shared: Rc<SharedState>,
    incoming: Request<Incoming>,
) -> Response<Outgoing> {
    let arrived = clock::now();
    let guard = InFlight::new(&shared);
    let call = match intake::admit::<D>(&shared, incoming, arrived).await {
        Ok(call) => call,
        Err((refusal, id)) => {
            account::refused(&shared, id.as_deref(), refusal, arrived);
            return own::<D>(&shared, refusal, Duration::ZERO);
        }
    };
    let service = call.judged.service.clone();
    shared
        .budgets
        .borrow_mut()
        .record_request(&service, arrived);
    let lifecycle = Lifecycle::new(
        call.judged.route.retry_policy,
        call.judged.route.max_attempts,
    );
    let mut flight = Flight {
        shared: Rc::clone(&shared),
        call,
        lifecycle,
        tried: Vec::new(),
        waited: false,
        sending: false,
        failure: None,
    };
    let until = flight.call.until;
    let driven = tokio::select! {
        // An answer that is ready goes before the end of the time.
        biased;
        driven = flight.drive::<D>() => Some(driven),
        () = shared.wake.wait_until(until) => None,
    };
    let driven = driven.unwrap_or_else(|| Err(flight.lifecycle.timed_out(flight.sending)));
    match driven {
        Ok(Answered::Whole(head, body)) => {
            flight.log(head.status.as_u16(), "whole");
            passed_on(&shared, head, Outgoing::Whole(Some(body)))
        }
        Ok(Answered::Pieces(reply, first)) => flight.pass_on::<D>(*reply, first, guard),
        Err(refusal) => flight.give::<D>(refusal),
    }
}

/// An endpoint's answer that is to be passed on.
enum Answered {
    Whole(http::response::Parts, Bytes),
    Pieces(Box<Reply>, Bytes),
}

/// A request on its way.
struct Flight {
    shared: Rc<SharedState>,
    call: Call,
    lifecycle: Lifecycle,
    tried: Vec<name::Endpoint>,
    /// Whether it has waited for room.
    waited: bool,
    /// Whether an endpoint may be at work.
    sending: bool,
    /// An endpoint's own failure, which the caller gets unless another endpoint
    /// does better: the request has run, so that it can't be called refused.
    failure: Option<(http::response::Parts, Bytes)>,
}

impl Flight {
    /// Sends the request to endpoints until one answers or none is left.
    async fn drive<D: Dialect>(&mut self) -> Result<Answered, Refusal> {
        loop {
            // Timers stand still while the host sleeps.
            if self.call.until.left().is_zero() {
                return Err(self.lifecycle.timed_out(false));
            }
            let (endpoint, running) =
                match exchange::choose(&self.shared, &self.call, &self.tried, clock::now()) {
                    Ok(chosen) => chosen,
                    Err(unserved) if self.waits(&unserved) => {
                        self.wait().await;
                        continue;
                    }
                    Err(Unserved::Busy) if self.lifecycle.sent() == 0 => return Err(Refusal::Busy),
                    Err(Unserved::Held) if self.lifecycle.sent() == 0 => return Err(Refusal::Held),
                    Err(Unserved::Busy | Unserved::Held) => return Err(self.lifecycle.exhausted()),
                    Err(Unserved::None(error)) => return Err(self.unserved(&error)),
                };
            self.tried.push(running.endpoint().clone());
            let mut failed = match self.send::<D>(&endpoint, running).await {
                Ok(reply) => match self.take(reply).await {
                    Ok(answered) => return Ok(answered),
                    Err(failed) => failed,
                },
                Err(failed) => failed,
            };
            self.examine(&mut failed).await;
            self.next(&failed)?;
        }
    }

    /// Sends the request to an endpoint and waits for the head of its answer, as long as
    /// the endpoint is not lost or the request can't be sent again.
    async fn send<D: Dialect>(
        &mut self,
        endpoint: &Endpoint,
        running: Running,
    ) -> Result<Reply, Failed> {
        let (before, tried) = (self.lifecycle.sent(), running.endpoint().clone());
        let movable = self.call.judged.route.retry_policy == RetryPolicy::Resume
            && before + 1 < self.call.judged.route.max_attempts;
        self.sending = true;
        let last = self.call.head.last_event;
        let (shared, call) = (&self.shared, &self.call);
        let sent = tokio::select! {
            biased;
            sent = exchange::send::<D>(shared, call, &mut self.lifecycle, endpoint, running, last) => Some(sent),
            () = exchange::lost(shared, call, &self.tried, &tried), if movable => None,
        };
        self.sending = false;
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

    /// Reads an answer as far as it has to be known before it is passed on.
    async fn take(&mut self, mut reply: Reply) -> Result<Answered, Failed> {
        let repeat = self.call.judged.route.retry_policy;
        if self.call.judged.route.streaming && reply.head.status.is_success() {
            return Ok(Answered::Pieces(Box::new(reply), Bytes::new()));
        }
        self.sending = true;
        let read = answer::read(&mut reply.body).await;
        self.sending = false;
        let bytes = match read {
            Read::Whole(bytes) => bytes,
            Read::Beginning(bytes) => return Ok(Answered::Pieces(Box::new(reply), bytes)),
            Read::Broken(error) => {
                return Err(Failed::broken(&mut reply.running, &error.to_string()));
            }
        };
        let status = reply.head.status;
        let more = self.lifecycle.sent() < self.call.judged.route.max_attempts;
        if exchange::worth_repeating(status, repeat) && more {
            let cause = format!("the endpoint answered {status}");
            reply.lease.keep(reply.kept, clock::now());
            self.failure = Some((reply.head, bytes));
            return Err(Failed::new(Failure::Refused, &cause));
        }
        reply.running.piece(clock::now());
        if !status.is_server_error() {
            reply.running.whole();
            self.shared.note_served(&self.call);
        }
        reply.lease.keep(reply.kept, clock::now());
        Ok(Answered::Whole(reply.head, bytes))
    }

    /// Waits until it is looked for room again.
    async fn wait(&mut self) {
        if !std::mem::replace(&mut self.waited, true) {
            let id = self.call.head.id.as_deref();
            tracing::info!(id, "refused before, the request waits for room");
            metrics::counter!(metric::GATEWAY_WAITED).increment(1);
        }
        tokio::time::sleep(LOOK_AGAIN).await;
    }

    /// Tells whether a caller that was refused before still waits for room, which may come
    /// in time.
    fn waits(&self, unserved: &Unserved) -> bool {
        let last = self.call.arrived + RETURNED_WAIT;
        let may_come = match unserved {
            Unserved::Held => false,
            Unserved::None(choice::Error::Withheld { first, .. }) => {
                first.is_some_and(|first| first < last)
            }
            Unserved::Busy | Unserved::None(_) => true,
        };
        may_come && self.call.has_returned && self.lifecycle.sent() == 0 && clock::now() < last
    }

    /// Returns the answer when no endpoint can be chosen.
    fn unserved(&self, error: &choice::Error) -> Refusal {
        let id = self.call.head.id.as_deref();
        let service = self.call.judged.service.as_str();
        let evacuated = self.shared.evacuations.borrow().names().count();
        let homes = self
            .call
            .judged
            .allowed_regions
            .as_ref()
            .map(|homes| homes.join(","));
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

    fn affordable(&self) -> bool {
        let mut budgets = self.shared.budgets.borrow_mut();
        budgets.try_spend(&self.call.judged.service, clock::now())
    }

    /// Finds out whether an endpoint has ended under the request, before it is sent to
    /// another one.
    async fn examine(&mut self, failed: &mut Failed) {
        if let Some(cut) = failed.cut.take() {
            // What the send has left open stays so if the time is up meanwhile.
            self.sending = true;
            crash::examine(&self.shared, &self.call, cut).await;
            self.sending = false;
        }
    }

    /// Decides what follows a send without an answer.
    fn next(&mut self, failed: &Failed) -> Result<(), Refusal> {
        let mut lifecycle = self.lifecycle;
        let next = lifecycle.after_failure(failed.failure, || self.affordable());
        self.lifecycle = lifecycle;
        let id = self.call.head.id.as_deref();
        let endpoint = self.tried.last().map(name::Endpoint::as_str);
        tracing::info!(id, endpoint, content = %self.call.fingerprint(), cause = failed.cause, next = ?next, "endpoint gave no answer");
        match next {
            Next::Repeat => {
                metrics::counter!(metric::GATEWAY_REPEATS).increment(1);
                Ok(())
            }
            Next::Redirect => Ok(()),
            Next::Give(refusal) => Err(refusal),
        }
    }

    /// Starts to pass a long answer or a stream on.
    fn pass_on<D: Dialect>(
        self,
        reply: Reply,
        first: Bytes,
        guard: InFlight,
    ) -> Response<Outgoing> {
        let (sender, receiver) = pieces::channel();
        let head = reply.head.clone();
        let length = head.headers.get(header::CONTENT_LENGTH);
        let left = length.and_then(|length| length.to_str().ok()?.parse().ok());
        let response = passed_on(&self.shared, head, Outgoing::Pieces { receiver, left });
        let Self {
            shared,
            call,
            lifecycle,
            tried,
            ..
        } = self;
        let status = response.status().as_u16();
        let pump = Pump {
            shared,
            call,
            lifecycle,
            tried,
            sender,
            resumed: 0,
        };
        tokio::task::spawn_local(async move {
            let (end, pump) = pump.run::<D>(reply, first).await;
            account::ended(
                &pump.shared,
                &pump.call,
                &pump.tried,
                status,
                &end.to_string(),
                pump.resumed,
            );
            drop(guard);
        });
        response
    }

    /// Answers the caller though no endpoint did what it asked for.
    fn give<D: Dialect>(mut self, refusal: Refusal) -> Response<Outgoing> {
        if let Some((head, body)) = self.failure.take() {
            let outcome = format!("an endpoint's own failure, then: {refusal}");
            self.log(head.status.as_u16(), &outcome);
            return passed_on(&self.shared, head, Outgoing::Whole(Some(body)));
        }
        self.log(refusal.status().as_u16(), &refusal.to_string());
        let left = self.call.until.left();
        own::<D>(&self.shared, refusal, left)
    }

    fn log(&self, status: u16, outcome: &str) {
        account::ended(&self.shared, &self.call, &self.tried, status, outcome, 0);
    }
}

fn own<D: Dialect>(shared: &SharedState, refusal: Refusal, left: Duration) -> Response<Outgoing> {
    let mut response = refusal
        .response::<D>(refusal.pause(left, shared.rng.borrow_mut().random()))
        .map(|body| Outgoing::Whole(Some(body)));
    close_if_stopping(shared, &mut response);
    response
}

/// Writes an endpoint's answer for the caller.
fn passed_on(
    shared: &SharedState,
    head: http::response::Parts,
    body: Outgoing,
) -> Response<Outgoing> {
    let mut response = Response::new(body);
    *response.status_mut() = head.status;
    *response.headers_mut() = head.headers;
    request::strip(response.headers_mut());
    close_if_stopping(shared, &mut response);
    response
}

fn close_if_stopping(shared: &SharedState, response: &mut Response<Outgoing>) {
    if shared.stopping.get().is_some() {
        response
            .headers_mut()
            .insert(header::CONNECTION, http::HeaderValue::from_static("close"));
    }
}
