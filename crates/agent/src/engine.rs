//! Calls to the endpoint that the agent stands beside.

use bytes::Bytes;
use cactusnotch_ledger::Attempt;
use cactusnotch_throttle::{Header, Headers};
use cactusnotch_wire::{Call, Head};
use derive_more::{Display, Error};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderName, HeaderValue, RETRY_AFTER};
use hyper::{HeaderMap, Request, Response, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

use crate::events::Events;

/// The requests a second that the endpoint takes.
const RATE_LIMIT: HeaderName = HeaderName::from_static("rate-limit");

/// Whether the endpoint takes no new requests since it is about to leave.
const LEAVING: HeaderName = HeaderName::from_static("leaving");

/// What an endpoint that is leaving writes.
const LEAVES: &str = "1";

/// The media type of an answer that comes as a stream of events.
const EVENT_STREAM: &str = "text/event-stream";

/// The media type of an answer that states none.
const OCTETS: &str = "application/octet-stream";

/// The most bytes of one event that are held back until its end.
const EVENT_LIMIT: usize = 1 << 20;

/// A call to the endpoint that brought no whole answer.
#[derive(Debug, Clone, Display, Error)]
pub(crate) enum Error {
    /// The endpoint did not take the call, so that nothing ran.
    #[display("call to the endpoint: it did not take the call: {detail}")]
    Unstarted { detail: String },
    /// The endpoint failed after it may have begun to run.
    #[display("call to the endpoint: it failed during the run: {detail}")]
    Failed { detail: String },
}

/// A client of one endpoint.
#[derive(Debug, Clone)]
pub(crate) struct Engine {
    base: String,
    client: Client<HttpConnector, Full<Bytes>>,
}

/// What the endpoint answers to a call.
#[derive(Debug)]
pub(crate) struct Reply {
    /// What it says of itself.
    pub(crate) statement: Headers,
    /// The answer, unless it did not take the call.
    pub(crate) answer: Result<Answer, Error>,
}

/// An answer as it comes from the endpoint.
#[derive(Debug)]
pub(crate) struct Answer {
    head: Option<Head>,
    body: Incoming,
    events: Option<Events>,
}

impl Engine {
    /// Creates a client of the endpoint at `base`.
    pub(crate) fn new(base: &str) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        Self {
            base: base.trim_end_matches('/').to_owned(),
            // The client sends a request again only if nothing of it was
            // written, on finding an idle connection closed.
            client: Client::builder(TokioExecutor::new())
                .retry_canceled_requests(true)
                .build(connector),
        }
    }

    /// Makes a call and returns the reply once its head has come.
    pub(crate) async fn call(
        &self,
        attempt: Attempt,
        key: &str,
        call: &Call,
        trace: &str,
    ) -> Result<Reply, Error> {
        let request = self.request(attempt, key, call, trace)?;
        match self.client.request(request).await {
            Ok(response) => Ok(Reply {
                statement: statement(response.headers(), response.status()),
                answer: Answer::new(response),
            }),
            Err(error) if error.is_connect() => Err(unstarted(&error)),
            Err(error) => Err(failed(&error)),
        }
    }

    fn request(
        &self,
        attempt: Attempt,
        key: &str,
        call: &Call,
        trace: &str,
    ) -> Result<Request<Full<Bytes>>, Error> {
        let mut request = Request::builder()
            .method(call.method.as_str())
            .uri(format!("{}{}", self.base, call.path))
            .header("request-id", attempt.to_string())
            .header("idempotency-key", key)
            .header("priority", call.priority.to_string())
            .header("traceparent", trace);
        if let Some(content_type) = &call.content_type {
            request = request.header(CONTENT_TYPE, content_type);
        }
        request
            .body(Full::new(call.payload.clone()))
            .map_err(|error| unstarted(&error))
    }
}

impl Answer {
    fn new(response: Response<Incoming>) -> Result<Self, Error> {
        let status = response.status();
        if status == StatusCode::TOO_MANY_REQUESTS {
            let detail = "its queue is full".to_owned();
            return Err(Error::Unstarted { detail });
        }
        let content_type = response
            .headers()
            .get(CONTENT_TYPE)
            .and_then(|value: &HeaderValue| value.to_str().ok())
            .unwrap_or(OCTETS)
            .to_owned();
        let streams = content_type.starts_with(EVENT_STREAM);
        Ok(Self {
            head: Some(Head {
                status: status.as_u16(),
                content_type,
            }),
            body: response.into_body(),
            events: streams.then(Events::default),
        })
    }

    /// Returns the next piece, or nothing after the end of a whole answer.
    pub(crate) async fn next(&mut self) -> Result<Option<Bytes>, Error> {
        if let Some(head) = self.head.take() {
            return Ok(Some(head.encode()));
        }
        loop {
            if let Some(event) = self.events.as_mut().and_then(Events::next) {
                return Ok(Some(event));
            }
            let Some(chunk) = self.chunk().await? else {
                return self.finish();
            };
            match &mut self.events {
                Some(events) => events.push(&chunk),
                None if chunk.is_empty() => {}
                None => return Ok(Some(chunk)),
            }
        }
    }

    async fn chunk(&mut self) -> Result<Option<Bytes>, Error> {
        if self.events.as_ref().map_or(0, Events::waiting) > EVENT_LIMIT {
            let detail = "an event is too long".to_owned();
            return Err(Error::Failed { detail });
        }
        match self.body.frame().await {
            None => Ok(None),
            Some(Ok(frame)) => Ok(Some(frame.into_data().unwrap_or_default())),
            Some(Err(error)) => Err(failed(&error)),
        }
    }

    fn finish(&self) -> Result<Option<Bytes>, Error> {
        match &self.events {
            Some(events) if !events.is_done() => {
                let detail = "its stream ended without the end mark".to_owned();
                Err(Error::Failed { detail })
            }
            _ => Ok(None),
        }
    }
}

/// Reads what the endpoint says of itself.
fn statement(headers: &HeaderMap, status: StatusCode) -> Headers {
    let all = |name| {
        headers
            .get_all(name)
            .iter()
            .map(|value| value.to_str().ok())
    };
    Headers {
        limit: Headers::read_limit(all(RATE_LIMIT)),
        backoff: if status == StatusCode::TOO_MANY_REQUESTS {
            Headers::read_backoff(all(RETRY_AFTER))
        } else {
            Header::Absent
        },
        leaving: all(LEAVING).any(|value| value == Some(LEAVES)),
    }
}

fn unstarted(error: &impl std::fmt::Display) -> Error {
    Error::Unstarted {
        detail: error.to_string(),
    }
}

fn failed(error: &impl std::fmt::Display) -> Error {
    Error::Failed {
        detail: error.to_string(),
    }
}
