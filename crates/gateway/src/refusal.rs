//! Error responses of the entry itself.

use std::time::Duration;

use bytes::Bytes;
use derive_more::Display;
use http::{HeaderValue, Response, StatusCode, header};

use crate::dialect::Dialect;
use crate::quarantine;

/// The time after which a refused caller should retry if another entry can serve the
/// request, before spreading: the caller needs this time to find one. Other refusals
/// use it as a lower bound.
pub const RETRY_AFTER: Duration = Duration::from_millis(300);
/// The fraction of a caller's remaining time budget after which it should retry if
/// endpoints have to recover first. Callers wait for at most a third of it. A group of
/// ranks is back two seconds after a power loss of all hosts, and a stream that fills
/// an engine takes about as long.
const RECOVERY_FRACTION: f64 = 0.28;
/// The longest recovery time: a response is worth less the later it arrives.
const RECOVERY_MAX: Duration = Duration::from_millis(2_400);

/// Returns the time that endpoints are given to recover before a caller with the time budget
/// `left` should retry.
fn recovery(left: Duration) -> Duration {
    left.mul_f64(RECOVERY_FRACTION).min(RECOVERY_MAX)
}

/// Returns the fraction of a retry time at which a caller should retry, from a random number.
const fn spread_of(draw: f64) -> f64 {
    0.5 + draw.clamp(0.0, 1.0) / 2.0
}

fn spread_recovery(recovery: Duration, spread: f64) -> Duration {
    recovery.mul_f64(0.5 + spread / 2.0).max(RETRY_AFTER)
}

/// Why an entry responds itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Refusal {
    /// The head of the request is invalid.
    #[display("the request has no usable host")]
    Malformed,
    /// The body exceeds the configured limit.
    #[display("the body is too large")]
    TooLarge,
    /// The body was not received in time. Nothing was sent to an endpoint.
    #[display("the body did not arrive in time")]
    SlowBody,
    /// No route matches the request.
    #[display("no route")]
    NoRoute,
    /// The key is missing or unknown.
    #[display("the key is missing or unknown")]
    NoKey,
    /// This entry's configuration is missing or may be outdated.
    #[display("the configuration is not known well enough")]
    NotFresh,
    /// The store was restored from an older copy lately, so that the configuration can't be
    /// confirmed yet.
    #[display("the configuration is not confirmed yet")]
    Unconfirmed {
        /// The time until the next attempt to confirm it.
        wait: Duration,
    },
    /// No endpoint accepted the request, which has not run.
    #[display("no endpoint took the request")]
    NotRun,
    /// The endpoints are so busy that the request would be late.
    #[display("the endpoints are busy")]
    Busy,
    /// By their own reports, the endpoints accept no more requests for now.
    #[display("the endpoints take no more requests for now")]
    Throttled {
        /// The time until the first endpoint may get a request.
        wait: Duration,
    },
    /// The memory budget of this entry is exhausted.
    #[display("the entry has no memory for the request")]
    NoMemory,
    /// The request is quarantined: it crashed endpoints that ran it and was not sent to
    /// another one.
    #[display("the request ends the endpoints that run it")]
    Held,
    /// This entry is stopping.
    #[display("the entry stops")]
    Stopping,
    /// The deadline passed; the request may have run.
    #[display("the time is up")]
    TimeUp,
    /// The response was lost or invalid; the request may have run.
    #[display("the answer was lost")]
    Lost,
}

impl Refusal {
    /// Returns the HTTP status of the response.
    #[must_use]
    pub const fn status(self) -> StatusCode {
        match self {
            Self::Malformed => StatusCode::BAD_REQUEST,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::SlowBody => StatusCode::REQUEST_TIMEOUT,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::NoKey => StatusCode::UNAUTHORIZED,
            Self::NotFresh
            | Self::Unconfirmed { .. }
            | Self::NotRun
            | Self::Busy
            | Self::Throttled { .. }
            | Self::Held
            | Self::NoMemory
            | Self::Stopping => StatusCode::SERVICE_UNAVAILABLE,
            Self::TimeUp => StatusCode::GATEWAY_TIMEOUT,
            Self::Lost => StatusCode::BAD_GATEWAY,
        }
    }

    /// Returns whether the request has not run, in which case the caller may retry
    /// after a pause.
    #[must_use]
    pub const fn is_retryable(self) -> bool {
        matches!(
            self,
            Self::SlowBody
                | Self::NotFresh
                | Self::Unconfirmed { .. }
                | Self::NotRun
                | Self::Busy
                | Self::Throttled { .. }
                | Self::Held
                | Self::NoMemory
                | Self::Stopping
        )
    }

    /// Returns the time after which a caller with the time budget `left` should retry.
    /// `draw`, a random number from 0 to 1, spreads the retries of callers that were
    /// refused together.
    #[must_use]
    pub fn retry_after(self, left: Duration, draw: f64) -> Duration {
        let spread = spread_of(draw);
        match self {
            Self::Busy | Self::NotRun => spread_recovery(recovery(left), spread),
            // One request is admitted at that time; the others should arrive after it.
            Self::Throttled { wait } => wait.max(RETRY_AFTER).mul_f64(0.5 + spread),
            // Entries share their confirmations, so the others near this one have none either.
            Self::Unconfirmed { wait } => wait + RETRY_AFTER.mul_f64(draw.clamp(0.0, 1.0)),
            // An earlier retry would be refused as well.
            Self::Held => quarantine::QUARANTINE_TIME,
            _ => RETRY_AFTER.mul_f64(spread),
        }
    }

    /// Creates the response.
    pub fn response<D: Dialect>(self, after: Duration) -> Response<Bytes> {
        let mut response = Response::new(D::error_body(&self.to_string()));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        headers.insert(
            header::CONTENT_TYPE,
            HeaderValue::from_static("application/json"),
        );
        if self.is_retryable() {
            D::set_retry_after(headers, after);
        }
        response
    }
}
