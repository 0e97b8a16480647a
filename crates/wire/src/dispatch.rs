//! A request to an agent with what the endpoint needs for it.

use cactusnotch_derive::message;
use cactusnotch_ledger::Request;

use crate::Call;

/// A request to an agent with what the endpoint needs for it.
#[message]
#[derive(Eq)]
pub struct Dispatch {
    /// What is asked of the agent.
    pub request: Request,
    /// The call, if the request may start a run.
    pub call: Option<Call>,
    /// The span that the request is part of, as a W3C `traceparent`.
    pub trace: Option<String>,
}
