//! What follows when an endpoint did not answer a request.

use crate::refusal::Refusal;
use crate::route::RetryPolicy;

/// The most endpoints in a row that may be out of reach before a request is
/// given back; none of them has seen it.
const UNREACHED_MAX: u32 = 3;

/// Why an endpoint did not answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// The request was never written to a connection.
    Unsent,
    /// The endpoint states that it did not run the request.
    Refused,
    /// The request may have run.
    Uncertain,
}

/// What to do next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
    /// Send it to another endpoint; this is a repeated send.
    Repeat,
    /// Send it to another endpoint; the first has not seen it.
    Redirect,
    /// Answer the caller.
    Give(Refusal),
}

/// The course of one request over endpoints.
#[derive(Debug, Clone, Copy)]
pub struct Lifecycle {
    repeat: RetryPolicy,
    attempts: u32,
    sent: u32,
    unreached: u32,
    uncertain: bool,
}

impl Lifecycle {
    /// Creates the course of a request that may be sent to `attempts` endpoints.
    #[must_use]
    pub const fn new(repeat: RetryPolicy, attempts: u32) -> Self {
        Self {
            repeat,
            attempts,
            sent: 0,
            unreached: 0,
            uncertain: false,
        }
    }

    /// Returns how many endpoints the request was sent to.
    #[must_use]
    pub const fn sent(&self) -> u32 {
        self.sent
    }

    /// Tells whether it may be sent to another endpoint.
    #[must_use]
    pub const fn may_retry(&self) -> bool {
        self.sent < self.attempts
    }

    /// Notes that the request is being written to an endpoint.
    pub const fn record_send(&mut self) {
        self.sent += 1;
    }

    /// Returns what follows a failure. `affordable` tells whether the budget
    /// allows another send; it is asked only if one is due.
    pub fn after_failure(&mut self, failure: Failure, affordable: impl FnOnce() -> bool) -> Next {
        match failure {
            Failure::Unsent => {
                self.sent = self.sent.saturating_sub(1);
                self.unreached += 1;
                if self.unreached <= UNREACHED_MAX {
                    return Next::Redirect;
                }
            }
            Failure::Refused => {}
            Failure::Uncertain => self.uncertain = true,
        }
        let allowed = !(self.uncertain && self.repeat == RetryPolicy::Never);
        if failure != Failure::Unsent && allowed && self.sent < self.attempts && affordable() {
            return Next::Repeat;
        }
        Next::Give(self.exhausted())
    }

    /// Returns the answer when no endpoint is left to try.
    #[must_use]
    pub const fn exhausted(&self) -> Refusal {
        if self.uncertain {
            Refusal::Lost
        } else {
            Refusal::NotRun
        }
    }

    /// Returns the answer when the time is up while an endpoint may be at
    /// work (`sending`) or not.
    #[must_use]
    pub const fn timed_out(&self, sending: bool) -> Refusal {
        if sending || self.uncertain {
            Refusal::TimeUp
        } else {
            Refusal::NotRun
        }
    }
}
