//! Calls to the agent's endpoint.

use bytes::Bytes;
use cactusnotch_events::media;
use cactusnotch_ledger::Attempt;
use cactusnotch_throttle::{Header, Headers};
use cactusnotch_wire::{Call, Head};
use derive_more::{Display, Error};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderName, HeaderValue, RETRY_AFTER};
use hyper::{HeaderMap, Request, Response, StatusCode};

use crate::connection::{self, Connection};
use crate::events::Events;

/// The header that carries the endpoint's rate limit, in requests a second.
const RATE_LIMIT: HeaderName = HeaderName::from_static("rate-limit");

/// The header that announces that the endpoint is leaving and accepts no new
/// requests.
const LEAVING: HeaderName = HeaderName::from_static("leaving");

/// The value of [`LEAVING`] for an endpoint that is leaving.
const LEAVING_VALUE: &str = "1";

/// The media type of an answer without a `Content-Type`.
const OCTET_STREAM: &str = "application/octet-stream";

/// The most bytes that are buffered of an incomplete event.
const EVENT_LIMIT: usize = 1 << 20;

/// A call to the endpoint without a complete answer.
#[derive(Debug, Clone, Display, Error)]
pub(crate) enum Error {
    /// The endpoint did not accept the call, so nothing ran.
    #[display("endpoint did not accept the call: {detail}")]
    Unstarted { detail: String },
    /// The endpoint failed after the run may have started.
    #[display("endpoint failed during the run: {detail}")]
    Failed { detail: String },
}

/// A client of one endpoint.
#[derive(Debug, Clone)]
pub(crate) struct Engine {
    base: String,
}

/// The reply of the endpoint to a call.
#[derive(Debug)]
pub(crate) struct Reply {
    /// The endpoint's throttling headers.
    pub(crate) headers: Headers,
    /// The answer, unless the endpoint did not accept the call.
    pub(crate) answer: Result<Answer, Error>,
}

/// An answer, read piece by piece.
#[derive(Debug)]
pub(crate) struct Answer {
    head: Option<Head>,
    body: Incoming,
    events: Option<Events>,
}

impl Engine {
    /// Creates a client of the endpoint at `base`.
    pub(crate) fn new(base: &str) -> Self {
        Self {
            base: base.trim_end_matches('/').to_owned(),
        }
    }

    /// Makes a call and returns the reply once its head has been received.
    pub(crate) async fn call(
        &self,
        attempt: Attempt,
        key: &str,
        call: &Call,
        trace: &str,
    ) -> Result<Reply, Error> {
        let mut request = self.request(attempt, key, call, trace)?;
        // A connection of its own tells where the head of the response begins.
        let authority = connection::address(&mut request)?;
        let connection = Connection::open(&authority).await?;
        let response = connection.send(request).await?;
        Ok(Reply {
            headers: read_headers(response.headers(), response.status()),
            answer: Answer::new(response),
        })
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
            let detail = "the queue is full".to_owned();
            return Err(Error::Unstarted { detail });
        }
        let content_type = response
            .headers()
            .get(CONTENT_TYPE)
            .and_then(|value: &HeaderValue| value.to_str().ok())
            .unwrap_or(OCTET_STREAM)
            .to_owned();
        let streams = media::is_stream(content_type.as_bytes());
        Ok(Self {
            head: Some(Head {
                status: status.as_u16(),
                content_type,
            }),
            body: response.into_body(),
            events: streams.then(Events::default),
        })
    }

    /// Returns the next piece, or `None` after the end of a complete answer.
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
            let detail = "an event exceeds the size limit".to_owned();
            return Err(Error::Failed { detail });
        }
        if let Some(fault) = self.events.as_ref().and_then(Events::fault) {
            return Err(failed(&fault));
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
                let detail = "the event stream ended without the final event".to_owned();
                Err(Error::Failed { detail })
            }
            _ => Ok(None),
        }
    }
}

/// Reads the endpoint's throttling headers.
fn read_headers(headers: &HeaderMap, status: StatusCode) -> Headers {
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
        leaving: all(LEAVING).any(|value| value == Some(LEAVING_VALUE)),
    }
}

pub(crate) fn unstarted(error: &impl std::fmt::Display) -> Error {
    Error::Unstarted {
        detail: error.to_string(),
    }
}

pub(crate) fn failed(error: &impl std::fmt::Display) -> Error {
    Error::Failed {
        detail: error.to_string(),
    }
}
