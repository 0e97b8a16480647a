//! The limits for a request.

use std::time::Duration;

/// The limits for a request.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Options {
    /// The maximum time from the agent's last reported age to the start of an
    /// attempt.
    pub start: Duration,
    /// The delay before a claim is sent again, possibly to another writer.
    pub claim: Duration,
    /// The time within which an agent must accept a dispatched attempt.
    pub accept: Duration,
    /// The time within which an agent must report the state of an attempt.
    pub settle: Duration,
    /// The delay before a query to an agent is sent again.
    pub resend: Duration,
    /// The maximum number of attempts after the first.
    pub retries: u32,
    /// The delay that is suggested to a caller before it tries again.
    pub retry_after: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            start: Duration::from_secs(5),
            claim: Duration::from_secs(1),
            accept: Duration::from_secs(2),
            settle: Duration::from_secs(3),
            resend: Duration::from_millis(200),
            retries: 3,
            retry_after: Duration::from_secs(1),
        }
    }
}
