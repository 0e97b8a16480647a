//! Relays a stream or a long response, and resumes a broken stream at another endpoint.

mod resume;

use std::rc::Rc;

use bytes::Bytes;
use cactusnotch_base::clock;
use cactusnotch_base::name;
use cactusnotch_events::{Fault, Ids, Reader, media};
use cactusnotch_telemetry::metric;
use http::header;
use http::response::Parts;
use http_body_util::BodyExt;

use crate::account::{self, Ended};
use crate::answer::RESPONSE_MAX;
use crate::crash;
use crate::decide::{Failure, Lifecycle};
use crate::delivery::Receipt;
use crate::dialect::Dialect;
use crate::exchange::{self, Failed, Reply};
use crate::gaps::Gaps;
use crate::knowledge::SharedState;
use crate::pieces::{Disconnected, Sender};
use crate::request::Call;
use crate::route::RetryPolicy;
use crate::running::Running;

/// How a response ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub(crate) enum End {
    /// The caller received the complete response.
    #[display("whole")]
    Whole,
    /// The caller disconnected.
    #[display("caller left")]
    CallerLeft,
    /// The deadline passed.
    #[display("time up")]
    TimeUp,
    /// The response was truncated.
    #[display("broken off")]
    Broken,
}

/// A response that is being relayed.
pub(crate) struct Pump {
    pub(crate) shared: Rc<SharedState>,
    pub(crate) call: Call,
    pub(crate) lifecycle: Lifecycle,
    pub(crate) tried: Vec<name::Endpoint>,
    pub(crate) sender: Sender,
    /// Whether another endpoint may continue the stream.
    pub(crate) resumable: bool,
    /// How often the stream was resumed at another endpoint.
    pub(crate) resumed: u32,
    /// The number of bytes that endpoints have sent.
    pub(crate) received: u64,
    /// When the caller was handed events; `None` unless the response is a stream of events.
    pub(crate) gaps: Option<Gaps>,
    /// Passes on events and no other bytes; `None` unless the response is a stream of events.
    pub(crate) reader: Option<Reader>,
}

/// Returns whether a response is a stream of events.
fn is_event_stream(head: &Parts) -> bool {
    let kind = head.headers.get(header::CONTENT_TYPE);
    let events = kind.is_some_and(|kind| media::is_stream(kind.as_bytes()));
    head.status.is_success() && events
}

/// Returns whether a response is a stream of events without a content length. The
/// caller receives the head of the first endpoint. With a content length, the events of
/// another endpoint would be cut at that length and the result would look complete.
fn is_open_stream(head: &Parts) -> bool {
    is_event_stream(head) && !head.headers.contains_key(header::CONTENT_LENGTH)
}

/// How one endpoint's part of a response ended.
enum PartEnd {
    End(End),
    Broken(Failed),
}

impl PartEnd {
    /// Creates the end of a part that should be resumed at another endpoint because of
    /// `cause`.
    fn broken(cause: &str) -> Self {
        Self::Broken(Failed::new(Failure::Uncertain, cause))
    }
}

impl Pump {
    /// Relays `reply` with `status`, after the bytes `first` that were already read, and waits
    /// until the response has reached the caller.
    pub(crate) async fn run<D: Dialect>(
        self,
        reply: Reply,
        first: Bytes,
        status: u16,
        receipt: &Receipt,
    ) {
        let (end, pump) = self.relay::<D>(reply, first).await;
        // The body ends with its sender.
        drop(pump.sender);
        receipt.written().await;
        let ended = Ended {
            resumed: pump.resumed,
            gaps: pump.gaps,
            events: pump.reader.as_ref().map(Reader::events),
            last_event: pump.reader.as_ref().and_then(Reader::last),
            ..Ended::new(status, end.to_string())
        };
        account::log_ended(&pump.shared, &pump.call, &pump.tried, &ended);
        if end == End::Whole {
            account::follow(&pump.call, receipt).await;
        }
    }

    /// Relays `reply`, after the bytes `first` that were already read, until it ends.
    async fn relay<D: Dialect>(mut self, mut reply: Reply, first: Bytes) -> (End, Self) {
        self.resumable = self.call.resolved.route.retry_policy == RetryPolicy::Resume
            && is_open_stream(&reply.head);
        self.gaps = is_event_stream(&reply.head).then(|| Gaps::new(self.call.arrived));
        self.reader = self.reader_of(&reply.head);
        let first = self.read_events(first);
        if !first.is_empty() && self.sender.send(first).await.is_err() {
            return (End::CallerLeft, self);
        }
        loop {
            let mut failed = match self.relay_part(reply).await {
                PartEnd::End(end) => return (self.finish(end), self),
                PartEnd::Broken(failed) => failed,
            };
            self.probe_crash(&mut failed).await;
            if !self.may_continue() {
                self.log_broken(&failed);
                return (self.finish(End::Broken), self);
            }
            if let Some(reader) = &mut self.reader {
                reader.restart();
            }
            let last = self.reader.as_ref().and_then(Reader::last);
            match self.resume::<D>(last, failed).await {
                Some(next) => reply = next,
                None => return (self.finish(End::Broken), self),
            }
        }
    }

    /// Returns the reader of a response that is a stream of events. On other routes than those of
    /// streams the reader only shows whether the end of a connection is the end of an event.
    fn reader_of(&self, head: &Parts) -> Option<Reader> {
        let route = &self.call.resolved.route;
        let ids = match route.streaming {
            true => Ids::Increasing,
            false if crash::is_unframed(&self.call, head) => Ids::Free,
            false => return None,
        };
        let continues = route.retry_policy == RetryPolicy::Resume;
        let last = self.call.head.last_event.filter(|_| continues);
        is_event_stream(head).then(|| Reader::new(ids, last))
    }

    /// Returns whether another endpoint may continue the stream now: its caller has no part of an
    /// incomplete event.
    fn may_continue(&self) -> bool {
        self.resumable && self.reader.as_ref().is_some_and(Reader::is_resumable)
    }

    /// Returns the part of the response that may be passed on.
    fn read_events(&mut self, data: Bytes) -> Bytes {
        match &mut self.reader {
            Some(reader) => reader.push(&data),
            None => data,
        }
    }

    /// Signals an incomplete response to the caller by closing the connection.
    fn finish(&self, end: End) -> End {
        if matches!(end, End::TimeUp | End::Broken) {
            // The caller may have disconnected, in which case no signal is needed.
            let _: Result<(), _> = self.sender.send_truncated();
        }
        end
    }

    /// Relays the part of the response that one endpoint sends.
    async fn relay_part(&mut self, reply: Reply) -> PartEnd {
        let Reply {
            head,
            mut body,
            lease,
            mut running,
            keep_alive,
        } = reply;
        let deadline = self.call.deadline;
        if let Some(end) = self.check_fault(&mut running) {
            return end;
        }
        loop {
            let frame = tokio::select! {
                biased;
                () = self.sender.closed() => return PartEnd::End(End::CallerLeft),
                frame = body.frame() => frame,
                () = self.shared.suspend_detector.wait_until(deadline) => return PartEnd::End(End::TimeUp),
                () = exchange::wait_until_lost(&self.shared, &self.call, &self.tried, running.endpoint()),
                    if self.may_continue() && self.lifecycle.may_retry() =>
                {
                    running.record_failure();
                    metrics::counter!(metric::GATEWAY_MOVED).increment(1);
                    return PartEnd::broken("the endpoint is lost");
                }
            };
            let data = match frame {
                None => break,
                Some(Err(error)) => {
                    return PartEnd::Broken(Failed::broken(&mut running, &error.to_string()));
                }
                Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
            };
            self.received += data.len() as u64;
            if self.received > RESPONSE_MAX {
                running.record_failure();
                let (id, endpoint) = (self.call.head.id.as_deref(), running.endpoint().as_str());
                tracing::info!(
                    id,
                    endpoint,
                    bytes = self.received,
                    "response is too long, cut off"
                );
                return PartEnd::broken("the response is too long");
            }
            running.record_piece(clock::now());
            if running.is_harmless(clock::now()) {
                self.shared.note_parts_served(&self.call);
            }
            let data = self.read_events(data);
            if !data.is_empty()
                && let Err(end) = self.hand_over(data).await
            {
                return PartEnd::End(end);
            }
            if let Some(end) = self.check_fault(&mut running) {
                return end;
            }
            if self.may_continue() && self.should_move(running.endpoint()) {
                metrics::counter!(metric::GATEWAY_MOVED).increment(1);
                return PartEnd::broken("the endpoint is far slower than others");
            }
        }
        let rest = match self
            .reader
            .as_mut()
            .map_or(Ok(Bytes::new()), Reader::finish)
        {
            Ok(rest) => rest,
            Err(fault) => {
                return PartEnd::Broken(Failed::broken(&mut running, &fault.to_string()));
            }
        };
        if crash::has_ended(&self.shared, &self.call, &head, &running).await {
            running.record_failure();
            return PartEnd::broken("the endpoint ended with the stream");
        }
        if !rest.is_empty()
            && let Err(end) = self.hand_over(rest).await
        {
            return PartEnd::End(end);
        }
        running.record_complete();
        // An end without framing shows nothing: a crash that is noticed late looks the same.
        if !crash::is_unframed(&self.call, &head) {
            self.shared.note_served(&self.call);
            self.shared.note_parts_served(&self.call);
        }
        lease.put_back(keep_alive, clock::now());
        PartEnd::End(End::Whole)
    }

    /// Returns the end of a part in which bytes that are no event have arrived.
    fn check_fault(&self, running: &mut Running) -> Option<PartEnd> {
        let fault = self.reader.as_ref().and_then(Reader::fault)?;
        running.record_failure();
        self.log_fault(fault, running.endpoint());
        Some(PartEnd::broken(&fault.to_string()))
    }

    /// Logs why a response is cut off that no other endpoint may continue.
    fn log_broken(&self, failed: &Failed) {
        tracing::info!(
            id = self.call.head.id.as_deref(),
            endpoint = self.tried.last().map(name::Endpoint::as_str),
            events = self.reader.as_ref().map(Reader::events),
            last_event = self.reader.as_ref().and_then(Reader::last),
            received_bytes = self.received,
            cause = failed.cause,
            "response broken off at its endpoint"
        );
    }

    /// Logs the first bytes that are no event.
    fn log_fault(&self, fault: Fault, endpoint: &name::Endpoint) {
        tracing::info!(
            id = self.call.head.id.as_deref(),
            endpoint = endpoint.as_str(),
            events = self.reader.as_ref().map(Reader::events),
            last_event = self.reader.as_ref().and_then(Reader::last),
            dropped_bytes = self.reader.as_ref().map(Reader::held),
            received_bytes = self.received,
            %fault,
            "stream has bytes that are no event"
        );
        metrics::counter!(metric::GATEWAY_SPOILT, "cause" => fault.label()).increment(1);
    }

    /// Hands data to the caller's connection, which takes it as the caller reads.
    async fn hand_over(&mut self, data: Bytes) -> Result<(), End> {
        tokio::select! {
            biased;
            sent = self.sender.send(data) => sent.map_err(|Disconnected| End::CallerLeft)?,
            () = self.shared.suspend_detector.wait_until(self.call.deadline) => return Err(End::TimeUp),
        }
        if let Some(gaps) = &mut self.gaps {
            gaps.record_event(clock::now());
        }
        Ok(())
    }

    /// Returns whether a stream should move to another endpoint: in each forward pass,
    /// all ranks of a group wait for a straggler to process its own streams.
    fn should_move(&self, endpoint: &name::Endpoint) -> bool {
        let now = clock::now();
        let is_straggler = || {
            let fleet = self.shared.fleet.borrow();
            fleet.is_straggler(endpoint.as_str(), now)
        };
        self.lifecycle.may_retry()
            && is_straggler()
            && exchange::may_move(&self.shared, &self.call, &self.tried, now)
    }
}
