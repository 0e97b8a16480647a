//! The answers that an entry gives itself.

use std::time::Duration;

use bytes::Bytes;
use derive_more::Display;
use http::{HeaderValue, Response, StatusCode, header};

use crate::dialect::Dialect;
use crate::quarantine;

/// When a refused caller is told to come back if it is another entry that will
/// serve it, and at least: the time to find one.
pub const COME_BACK: Duration = Duration::from_millis(300);
/// The part of the time that a caller has left after which it comes back if
/// endpoints have to recover first. Callers wait a third at most. A group of
/// ranks is back two seconds after all hosts have lost their power, and a stream
/// that fills an engine takes about as long.
const RECOVERY_PART: f64 = 0.28;
/// The longest time for that: it is worth less the later it is.
const RECOVERY_MAX: Duration = Duration::from_millis(2_400);

/// Why an entry answers itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Refusal {
    /// The request's head can't be used.
    #[display("the request has no usable host")]
    Malformed,
    /// The body is larger than the operators allow.
    #[display("the body is too large")]
    TooLarge,
    /// The body didn't arrive in time. Nothing was sent on.
    #[display("the body did not arrive in time")]
    SlowBody,
    /// No route takes the request.
    #[display("no route")]
    NoRoute,
    /// The key is missing or unknown.
    #[display("the key is missing or unknown")]
    NoKey,
    /// This entry doesn't know yet what is in force.
    #[display("the configuration is not known well enough")]
    NotFresh,
    /// No endpoint took the request, which has not run.
    #[display("no endpoint took the request")]
    NotRun,
    /// The endpoints are so busy that the request would be late.
    #[display("the endpoints are busy")]
    Busy,
    /// The endpoints take nothing more for now, as they say themselves.
    #[display("the endpoints take no more requests for now")]
    Throttled {
        /// The time until the first of them may get a request.
        wait: Duration,
    },
    /// This entry has no memory for it.
    #[display("the entry has no memory for the request")]
    NoMemory,
    /// The request has ended endpoints that ran it, and has not been sent to another.
    #[display("the request ends the endpoints that run it")]
    Held,
    /// This entry stops.
    #[display("the entry stops")]
    Stopping,
    /// The time is up; whether the request ran is open.
    #[display("the time is up")]
    TimeUp,
    /// The answer was lost or spoilt; whether the request ran is open.
    #[display("the answer was lost")]
    Lost,
}

impl Refusal {
    /// Returns the status that callers get.
    #[must_use]
    pub const fn status(self) -> StatusCode {
        match self {
            Self::Malformed => StatusCode::BAD_REQUEST,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::SlowBody => StatusCode::REQUEST_TIMEOUT,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::NoKey => StatusCode::UNAUTHORIZED,
            Self::NotFresh
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

    /// Tells whether the request has not run, so that the caller may send it
    /// again after a pause.
    #[must_use]
    pub const fn may_come_back(self) -> bool {
        matches!(
            self,
            Self::SlowBody
                | Self::NotFresh
                | Self::NotRun
                | Self::Busy
                | Self::Throttled { .. }
                | Self::Held
                | Self::NoMemory
                | Self::Stopping
        )
    }

    /// Returns when a caller that has `left` should come back, spread by `draw`
    /// from 0 to 1, so that those who were refused together don't return
    /// together.
    #[must_use]
    pub fn pause(self, left: Duration, draw: f64) -> Duration {
        let spread = 0.5 + draw.clamp(0.0, 1.0) / 2.0;
        match self {
            Self::Busy | Self::NotRun => {
                let recovery = left.mul_f64(RECOVERY_PART).min(RECOVERY_MAX);
                recovery.mul_f64(0.5 + spread / 2.0).max(COME_BACK)
            }
            // One request is let in then, so that the others come after it.
            Self::Throttled { wait } => wait.max(COME_BACK).mul_f64(0.5 + spread),
            // Coming back sooner helps nobody.
            Self::Held => quarantine::QUARANTINE_TIME,
            _ => COME_BACK.mul_f64(spread),
        }
    }

    /// Returns the answer.
    pub fn response<D: Dialect>(self, after: Duration) -> Response<Bytes> {
        let mut response = Response::new(D::error_body(&self.to_string()));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        headers.insert(
            header::CONTENT_TYPE,
            HeaderValue::from_static("application/json"),
        );
        if self.may_come_back() {
            D::set_retry_after(headers, after);
        }
        response
    }
}
