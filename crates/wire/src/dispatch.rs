//! A request to an agent with the call for its endpoint.

use cactusnotch_derive::message;
use cactusnotch_ledger::Request;

use crate::Call;

/// A request to an agent with the call for its endpoint.
#[message]
#[derive(Eq)]
pub struct Dispatch {
    /// The request to the agent.
    pub request: Request,
    /// The call, if the request may start a run.
    pub call: Option<Call>,
    /// The span that the request is part of, as a W3C `traceparent`.
    pub trace: Option<String>,
}
