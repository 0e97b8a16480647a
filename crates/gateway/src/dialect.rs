//! The deployment's names and encodings in requests and responses.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use cactusnotch_derive::record;
use http::{HeaderMap, Uri};

use cactusnotch_throttle::Headers;

use crate::prompt;

/// The decoded headers of a caller's request.
#[record]
#[derive(Default)]
pub struct Head {
    /// The id of the attempt.
    pub id: Option<String>,
    /// How long the caller waits for the response.
    pub time_budget: Option<Duration>,
    /// The API key of the caller's organisation.
    pub key: Option<String>,
    /// The id of the last event received, if the caller resumes a stream.
    pub last_event: Option<u64>,
    /// The number of tokens in the prompt.
    pub prompt_tokens: u32,
}

/// The metadata that is sent to an endpoint with a request.
#[derive(Debug, Clone, Copy)]
pub struct Hop<'a> {
    /// The only incarnation of the endpoint that may run the request.
    pub endpoint: &'a str,
    /// The organisation of the caller.
    pub organisation: Option<&'a str>,
    /// The time left until the caller's deadline.
    pub time_left: Option<Duration>,
    /// The id of the last event that the caller received, if a stream is
    /// resumed.
    pub last_event: Option<u64>,
    /// The urgency, from 0 (most urgent) to 9.
    pub urgency: Option<u8>,
}

/// The metadata of an endpoint's response.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ResponseInfo {
    /// Whether the response belongs to another request.
    pub foreign: bool,
    /// Whether the endpoint states that it did not run the request.
    pub refused: bool,
    /// Whether the endpoint signed the response.
    pub signed: bool,
    /// The endpoint's own report of its state.
    pub statement: Headers,
}

/// A caller's query for the addresses of entries.
#[record]
pub struct AddressQuery {
    /// The host name that the caller will request.
    pub host: Option<String>,
    /// The region of the caller.
    pub region: Option<String>,
    /// The data centre of the caller.
    pub data_centre: Option<String>,
}

/// The deployment's names and encodings in requests and responses. Method
/// signatures use this crate's own terms.
pub trait Dialect: 'static {
    /// Decodes the headers of a caller's request.
    fn head(headers: &HeaderMap) -> Head;

    /// Decodes the parts of the prompt that other requests may share.
    fn shared_parts(headers: &HeaderMap) -> prompt::Shared;

    /// Sets and removes headers of a request that is sent to an endpoint.
    fn forward(headers: &mut HeaderMap, hop: &Hop<'_>);

    /// Decodes the headers of a response to the request `id`.
    fn response_info(
        headers: &HeaderMap,
        status: http::StatusCode,
        id: Option<&str>,
    ) -> ResponseInfo;

    /// Decodes a query for addresses; `None` if the request is not one.
    fn address_query(uri: &Uri) -> Option<AddressQuery>;

    /// Returns whether the request queries the readiness of the entry.
    fn is_readiness_query(uri: &Uri) -> bool;

    /// Encodes the response to a query for addresses, to be cached for `keep`.
    fn addresses(addresses: &[SocketAddr], keep: Duration) -> Bytes;

    /// Adds to a refusal the time after which the caller should retry.
    fn set_retry_after(headers: &mut HeaderMap, after: Duration);

    /// Encodes the body of an error response of the entry.
    fn error_body(text: &str) -> Bytes;
}
