//! Refusals and failures as RFC 9457 problem documents.

use std::time::Duration;

use bytes::Bytes;
use cactusnotch_base::Outcome;
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use serde::Serialize;

use crate::body::Body;

/// The header that carries the outcome of a request without a complete answer.
pub const OUTCOME_HEADER: &str = "cactusnotch-outcome";

const MEDIA_TYPE: &str = "application/problem+json";

/// A refusal or a failure as sent to a caller (RFC 9457).
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Problem {
    /// A URI reference that identifies the kind of problem.
    #[serde(rename = "type")]
    pub kind: String,
    /// A short description of the kind of problem.
    pub title: &'static str,
    /// The HTTP status code.
    #[serde(serialize_with = "status_number")]
    pub status: StatusCode,
    /// What happened to this request, with the step and the peer.
    pub detail: String,
    /// Whether the request provably did not run.
    pub outcome: Outcome,
    /// The `Retry-After` time, in whole seconds, rounded up.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after: Option<u64>,
}

impl Problem {
    /// Creates the problem of kind `slug`, which is part of its type URI.
    pub fn new(
        slug: &str,
        title: &'static str,
        status: StatusCode,
        outcome: Outcome,
        detail: impl Into<String>,
    ) -> Self {
        Self {
            kind: format!("urn:cactusnotch:problem:{slug}"),
            title,
            status,
            detail: detail.into(),
            outcome,
            retry_after: None,
        }
    }

    /// Sets the time after which the caller may retry, at least one second.
    #[must_use]
    pub fn after(mut self, wait: Duration) -> Self {
        let seconds = wait.as_secs() + u64::from(wait.subsec_nanos() > 0);
        self.retry_after = Some(seconds.max(1));
        self
    }

    /// Creates the problem of a request that cannot be understood.
    pub fn malformed(detail: impl Into<String>) -> Self {
        Self::new(
            "malformed",
            "The request cannot be understood",
            StatusCode::BAD_REQUEST,
            Outcome::NotRun,
            detail,
        )
    }

    /// Creates the problem of a request for something that does not exist.
    pub fn absent(detail: impl Into<String>) -> Self {
        Self::new(
            "not-found",
            "There is nothing under this name",
            StatusCode::NOT_FOUND,
            Outcome::NotRun,
            detail,
        )
    }

    /// Creates the problem of a request that cannot be served at present.
    pub fn unavailable(detail: impl Into<String>, retry: Duration) -> Self {
        Self::new(
            "unavailable",
            "The request cannot be taken now",
            StatusCode::SERVICE_UNAVAILABLE,
            Outcome::NotRun,
            detail,
        )
        .after(retry)
    }

    /// Renders the problem as the response to its request.
    pub fn response(&self) -> Response<Body> {
        let mut response = Response::new(Body::from(Bytes::from(self.json())));
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static(MEDIA_TYPE));
        headers.insert(OUTCOME_HEADER, outcome_value(self.outcome));
        if let Some(seconds) = self.retry_after {
            headers.insert(RETRY_AFTER, HeaderValue::from(seconds));
        }
        response
    }

    /// Renders the problem as the last event of a broken stream.
    pub fn event(&self) -> Bytes {
        Bytes::from(format!("event: error\ndata: {}\n\n", self.json()))
    }

    fn json(&self) -> String {
        serde_json::to_string(self).expect("a problem holds only strings and numbers")
    }
}

fn outcome_value(outcome: Outcome) -> HeaderValue {
    HeaderValue::from_static(match outcome {
        Outcome::NotRun => "not-run",
        Outcome::Unknown => "unknown",
    })
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes fields by reference"
)]
fn status_number<S: serde::Serializer>(
    status: &StatusCode,
    serializer: S,
) -> Result<S::Ok, S::Error> {
    serializer.serialize_u16(status.as_u16())
}
