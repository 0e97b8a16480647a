//! Decides how to continue after an endpoint failed to answer a request.

use crate::refusal::Refusal;
use crate::route::RetryPolicy;

/// The most consecutive unreachable endpoints before the request is refused; none of
/// them has received it.
const UNREACHABLE_MAX: u32 = 3;

/// Why an endpoint gave no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// The request was never written to a connection.
    Unsent,
    /// The endpoint states that it did not run the request.
    Refused,
    /// The request may have run.
    Uncertain,
}

/// The next step of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
    /// Send it to another endpoint; this counts as a retry.
    Repeat,
    /// Send it to another endpoint; the first one has not received it.
    Redirect,
    /// Respond to the caller.
    Give(Refusal),
}

/// The lifecycle of one request over its attempts at endpoints.
#[derive(Debug, Clone, Copy)]
pub struct Lifecycle {
    retry_policy: RetryPolicy,
    max_attempts: u32,
    sent: u32,
    /// Whether the last send is included in `sent` and its outcome is open.
    open: bool,
    unreachable: u32,
    /// Whether a former send ended without a proof that the request has not run.
    uncertain: bool,
}

impl Lifecycle {
    /// Creates the lifecycle of a request that may be sent to `max_attempts` endpoints.
    #[must_use]
    pub const fn new(retry_policy: RetryPolicy, max_attempts: u32) -> Self {
        Self {
            retry_policy,
            max_attempts,
            sent: 0,
            open: false,
            unreachable: 0,
            uncertain: false,
        }
    }

    /// Returns the number of endpoints that the request was sent to.
    #[must_use]
    pub const fn sent(&self) -> u32 {
        self.sent
    }

    /// Returns whether the request may be sent to another endpoint.
    #[must_use]
    pub const fn may_retry(&self) -> bool {
        self.sent < self.max_attempts
    }

    /// Returns whether the request may have run: a send is open, or one ended without a proof
    /// that the request has not run.
    #[must_use]
    pub const fn may_have_run(&self) -> bool {
        self.open || self.uncertain
    }

    /// Records that the request is being written to an endpoint. The send stays open until
    /// [`after_failure`](Self::after_failure) states how it ended.
    pub const fn record_send(&mut self) {
        self.sent += 1;
        self.open = true;
    }

    /// Returns the next step after a failure. `affordable`, which returns whether the
    /// budget allows a retry and charges it, is called only if one is due.
    pub fn after_failure(&mut self, failure: Failure, affordable: impl FnOnce() -> bool) -> Next {
        let was_open = std::mem::take(&mut self.open);
        match failure {
            Failure::Unsent => {
                self.sent -= u32::from(was_open);
                self.unreachable += 1;
                if self.unreachable <= UNREACHABLE_MAX {
                    return Next::Redirect;
                }
            }
            Failure::Refused => {}
            Failure::Uncertain => self.uncertain = true,
        }
        let allowed = !(self.uncertain && self.retry_policy == RetryPolicy::Never);
        if failure != Failure::Unsent && allowed && self.sent < self.max_attempts && affordable() {
            return Next::Repeat;
        }
        Next::Give(self.exhausted())
    }

    /// Returns the response when no endpoint is left to try.
    #[must_use]
    pub const fn exhausted(&self) -> Refusal {
        self.checked(Refusal::NotRun)
    }

    /// Returns the response when the deadline has passed.
    #[must_use]
    pub const fn timed_out(&self) -> Refusal {
        if self.may_have_run() {
            Refusal::TimeUp
        } else {
            Refusal::NotRun
        }
    }

    /// Returns `refusal`, or one without a promise if `refusal` promises that the request has
    /// not run although it may have.
    #[must_use]
    pub const fn checked(&self, refusal: Refusal) -> Refusal {
        if refusal.is_retryable() && self.may_have_run() {
            Refusal::Lost
        } else {
            refusal
        }
    }
}
