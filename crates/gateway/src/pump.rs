//! Passes a long answer or a stream on, and continues a broken stream at
//! another endpoint.

use std::rc::Rc;

use bytes::Bytes;
use cactusnotch_base::clock;
use cactusnotch_base::name;
use cactusnotch_telemetry::metric;
use http::header;
use http::response::Parts;
use http_body_util::BodyExt;

use crate::crash;
use crate::decide::{Failure, Lifecycle, Next};
use crate::dialect::Dialect;
use crate::events::Events;
use crate::exchange::{self, Failed, Reply};
use crate::knowledge::SharedState;
use crate::pieces::Sender;
use crate::request::Call;
use crate::route::RetryPolicy;

/// How an answer ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub(crate) enum End {
    /// The caller got all of it.
    #[display("whole")]
    Whole,
    /// The caller left.
    #[display("caller left")]
    Left,
    /// The time was up.
    #[display("time up")]
    TimeUp,
    /// It broke off.
    #[display("broken off")]
    Broken,
}

/// An answer that is being passed on.
pub(crate) struct Pump {
    pub(crate) shared: Rc<SharedState>,
    pub(crate) call: Call,
    pub(crate) lifecycle: Lifecycle,
    pub(crate) tried: Vec<name::Endpoint>,
    pub(crate) sender: Sender,
    /// How often a stream was continued at another endpoint.
    pub(crate) resumed: u32,
}

/// Tells whether an answer is a stream of events that ends with its framing. The
/// caller gets the head of the first endpoint: had that a length, events of
/// another one would be cut there and look whole.
fn is_open_stream(head: &Parts) -> bool {
    let kind = head.headers.get(header::CONTENT_TYPE);
    let events = kind.is_some_and(|kind| kind.as_bytes().starts_with(EVENTS));
    head.status.is_success() && events && !head.headers.contains_key(header::CONTENT_LENGTH)
}

/// The media type of streams.
const EVENTS: &[u8] = b"text/event-stream";

/// What became of one endpoint's part of an answer.
enum Part {
    End(End),
    Broken(Failed),
}

impl Part {
    /// Returns that the stream is to go on elsewhere, since `cause`.
    fn broken(cause: &str) -> Self {
        Self::Broken(Failed::new(Failure::Uncertain, cause))
    }
}

impl Pump {
    /// Passes `reply` on, after the bytes `first` that were read already.
    pub(crate) async fn run<D: Dialect>(mut self, mut reply: Reply, first: Bytes) -> (End, Self) {
        let resumable = self.call.judged.route.retry_policy == RetryPolicy::Resume
            && is_open_stream(&reply.head);
        let mut events = resumable.then(|| Events::new(self.call.head.last_event));
        if !first.is_empty() && self.sender.send(first).await.is_err() {
            return (End::Left, self);
        }
        loop {
            let mut failed = match self.part(reply, events.as_mut()).await {
                Part::End(end) => return (self.close(end), self),
                Part::Broken(failed) => failed,
            };
            self.examine(&mut failed).await;
            let Some(events) = events.as_mut() else {
                return (self.close(End::Broken), self);
            };
            events.drop_partial();
            match self.resume::<D>(events.last(), failed).await {
                Some(next) => reply = next,
                None => return (self.close(End::Broken), self),
            }
        }
    }

    /// Tells the caller by a cut connection if the answer is not whole.
    fn close(&self, end: End) -> End {
        if matches!(end, End::TimeUp | End::Broken) {
            // A caller that has left meanwhile needs no sign.
            let _: Result<(), _> = self.sender.break_off();
        }
        end
    }

    /// Passes on what one endpoint sends.
    async fn part(&self, reply: Reply, mut events: Option<&mut Events>) -> Part {
        let Reply {
            mut body,
            lease,
            mut running,
            kept,
            ..
        } = reply;
        let until = self.call.until;
        loop {
            let frame = tokio::select! {
                biased;
                () = self.sender.closed() => return Part::End(End::Left),
                frame = body.frame() => frame,
                () = self.shared.wake.wait_until(until) => return Part::End(End::TimeUp),
                () = exchange::lost(&self.shared, &self.call, &self.tried, running.endpoint()),
                    if events.is_some() && self.lifecycle.may_retry() =>
                {
                    running.failed();
                    metrics::counter!(metric::GATEWAY_MOVED).increment(1);
                    return Part::broken("the endpoint is lost");
                }
            };
            let data = match frame {
                None => break,
                Some(Err(error)) => {
                    return Part::Broken(Failed::broken(&mut running, &error.to_string()));
                }
                Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
            };
            running.piece(clock::now());
            let data = match events.as_deref_mut() {
                Some(events) => events.push(&data),
                None => data,
            };
            if !data.is_empty() && self.sender.send(data).await.is_err() {
                return Part::End(End::Left);
            }
            if events.is_some() && self.leaves(running.endpoint()) {
                metrics::counter!(metric::GATEWAY_MOVED).increment(1);
                return Part::broken("the endpoint is far slower than others");
            }
        }
        if events.is_some_and(|events| events.is_partial()) {
            running.failed();
            return Part::broken("the stream ended within an event");
        }
        running.whole();
        self.shared.note_served(&self.call);
        lease.keep(kept, clock::now());
        Part::End(End::Whole)
    }

    /// Tells whether a stream should go on at another endpoint: all ranks of a group
    /// wait in each pass for what a straggler does for its own streams.
    fn leaves(&self, endpoint: &name::Endpoint) -> bool {
        let now = clock::now();
        let straggles = || {
            let fleet = self.shared.fleet.borrow();
            fleet.is_straggler(endpoint.as_str(), now)
        };
        self.lifecycle.may_retry()
            && straggles()
            && exchange::may_move(&self.shared, &self.call, &self.tried, now)
    }

    /// Finds out whether an endpoint has ended under the request.
    async fn examine(&self, failed: &mut Failed) {
        if let Some(cut) = failed.cut.take() {
            crash::examine(&self.shared, &self.call, cut).await;
        }
    }

    /// Continues a stream after the event `last` at another endpoint.
    async fn resume<D: Dialect>(
        &mut self,
        last: Option<u64>,
        mut failure: Failed,
    ) -> Option<Reply> {
        loop {
            self.examine(&mut failure).await;
            let now = clock::now();
            let service = self.call.judged.service.clone();
            let affordable = || self.shared.budgets.borrow_mut().try_spend(&service, now);
            let next = self.lifecycle.after_failure(failure.failure, affordable);
            let id = self.call.head.id.as_deref();
            tracing::info!(id, content = %self.call.fingerprint(), after = last, cause = failure.cause, next = ?next, "stream broken at its endpoint");
            if matches!(next, Next::Give(_)) || now >= self.call.until {
                return None;
            }
            let (endpoint, running) =
                exchange::choose(&self.shared, &self.call, &self.tried, now).ok()?;
            self.tried.push(running.endpoint().clone());
            let sending = exchange::send::<D>(
                &self.shared,
                &self.call,
                &mut self.lifecycle,
                &endpoint,
                running,
                last,
            );
            let until = self.call.until;
            let sent = tokio::select! {
                biased;
                () = self.sender.closed() => return None,
                sent = sending => sent,
                () = self.shared.wake.wait_until(until) => return None,
            };
            match sent {
                Ok(reply) if reply.head.status.is_success() => {
                    self.resumed += 1;
                    return Some(reply);
                }
                Ok(reply) => {
                    let cause = format!("the endpoint answered {}", reply.head.status);
                    failure = Failed::new(Failure::Uncertain, &cause);
                }
                Err(failed) => failure = failed,
            }
        }
    }
}
