//! The times and counts that bound a request.

use std::time::Duration;

/// The times and counts that bound a request.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Options {
    /// How long after the agent's last reported age an attempt may start.
    pub start: Duration,
    /// How long to wait before a claim is sent again, perhaps to another
    /// writer.
    pub claim: Duration,
    /// How long an agent may take to accept a dispatched attempt.
    pub accept: Duration,
    /// How long an agent may take to say what became of an attempt.
    pub settle: Duration,
    /// How long to wait before a question to an agent is sent again.
    pub resend: Duration,
    /// How many attempts may be dispatched or moved, beyond the first.
    pub retries: u32,
    /// The hint for a caller that is to try again.
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
