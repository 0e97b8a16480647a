//! What follows when an endpoint did not answer a request.

use crate::refusal::Refusal;
use crate::route::Repeat;

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
    InDoubt,
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
pub struct Course {
    repeat: Repeat,
    attempts: u32,
    sent: u32,
    unreached: u32,
    in_doubt: bool,
}

impl Course {
    /// Creates the course of a request that may be sent to `attempts` endpoints.
    #[must_use]
    pub const fn new(repeat: Repeat, attempts: u32) -> Self {
        Self {
            repeat,
            attempts,
            sent: 0,
            unreached: 0,
            in_doubt: false,
        }
    }

    /// Returns how many endpoints the request was sent to.
    #[must_use]
    pub const fn sent(&self) -> u32 {
        self.sent
    }

    /// Tells whether it may be sent to another endpoint.
    #[must_use]
    pub const fn may_repeat(&self) -> bool {
        self.sent < self.attempts
    }

    /// Notes that the request is being written to an endpoint.
    pub const fn send(&mut self) {
        self.sent += 1;
    }

    /// Returns what follows a failure. `affordable` tells whether the budget
    /// allows another send; it is asked only if one is due.
    pub fn fail(&mut self, failure: Failure, affordable: impl FnOnce() -> bool) -> Next {
        match failure {
            Failure::Unsent => {
                self.sent = self.sent.saturating_sub(1);
                self.unreached += 1;
                if self.unreached <= UNREACHED_MAX {
                    return Next::Redirect;
                }
            }
            Failure::Refused => {}
            Failure::InDoubt => self.in_doubt = true,
        }
        let allowed = !(self.in_doubt && self.repeat == Repeat::Never);
        if failure != Failure::Unsent && allowed && self.sent < self.attempts && affordable() {
            return Next::Repeat;
        }
        Next::Give(self.given_up())
    }

    /// Returns the answer when no endpoint is left to try.
    #[must_use]
    pub const fn given_up(&self) -> Refusal {
        if self.in_doubt {
            Refusal::Lost
        } else {
            Refusal::NotRun
        }
    }

    /// Returns the answer when the time is up while an endpoint may be at
    /// work (`sending`) or not.
    #[must_use]
    pub const fn time_up(&self, sending: bool) -> Refusal {
        if sending || self.in_doubt {
            Refusal::TimeUp
        } else {
            Refusal::NotRun
        }
    }
}
