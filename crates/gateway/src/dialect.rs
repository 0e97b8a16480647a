//! What a deployment calls things in requests and answers.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use cactusnotch_derive::record;
use http::{HeaderMap, Uri};

use cactusnotch_throttle::Headers;

/// What a caller's headers say, in the product's terms.
#[record]
#[derive(Default)]
pub struct Head {
    /// The id of the caller's attempt.
    pub id: Option<String>,
    /// How long the caller will wait.
    pub time_budget: Option<Duration>,
    /// The key of the caller's organisation.
    pub key: Option<String>,
    /// The last event that the caller has of a stream it resumes.
    pub last_event: Option<u64>,
    /// The tokens of the prompt.
    pub prompt_tokens: u32,
}

/// What a request is given on its way to an endpoint.
#[derive(Debug, Clone, Copy)]
pub struct Hop<'a> {
    /// The incarnation that alone may run it.
    pub endpoint: &'a str,
    /// The organisation that sent it.
    pub organisation: Option<&'a str>,
    /// The time that is left for it.
    pub time_left: Option<Duration>,
    /// The last event that the caller has, if a stream is resumed.
    pub last_event: Option<u64>,
    /// The urgency from 0, the most, to 9.
    pub urgency: Option<u8>,
}

/// What an endpoint's answer says beside its status.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ResponseInfo {
    /// Whether it is the answer to another request.
    pub foreign: bool,
    /// Whether the endpoint states that it did not run the request.
    pub refused: bool,
    /// Whether the endpoint signed it.
    pub signed: bool,
    /// What the endpoint says of itself.
    pub statement: Headers,
}

/// A caller's question for addresses.
#[record]
pub struct AddressQuery {
    /// The host that the caller will ask for.
    pub host: Option<String>,
    /// The region of the caller.
    pub region: Option<String>,
    /// The data centre of the caller.
    pub data_centre: Option<String>,
}

/// What a deployment calls things in requests and answers. The product's own
/// names stand in the signatures.
pub trait Dialect: 'static {
    /// Reads a caller's headers.
    fn head(headers: &HeaderMap) -> Head;

    /// Sets and drops the headers of a request that goes to an endpoint.
    fn forward(headers: &mut HeaderMap, hop: &Hop<'_>);

    /// Reads what the headers of an answer to the request `id` say.
    fn response_info(
        headers: &HeaderMap,
        status: http::StatusCode,
        id: Option<&str>,
    ) -> ResponseInfo;

    /// Reads a question for addresses, or `None` if the call is another.
    fn address_query(uri: &Uri) -> Option<AddressQuery>;

    /// Tells whether the call asks whether the entry is ready.
    fn is_readiness_query(uri: &Uri) -> bool;

    /// Writes the answer to a question for addresses.
    fn addresses(addresses: &[SocketAddr], keep: Duration) -> Bytes;

    /// Adds to a refusal when to come back.
    fn set_retry_after(headers: &mut HeaderMap, after: Duration);

    /// Writes the body of an answer of the entry's own.
    fn error_body(text: &str) -> Bytes;
}
