//! Reading requests and making answers.

use cactusnotch_order::Reply;
use http_body_util::{BodyExt, Limited};
use hyper::body::{Bytes, Incoming};
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{HeaderMap, Response, StatusCode, Uri};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::json;

/// How many times the limit of a body is read, so that its sender sees the
/// refusal in place of a broken connection.
const READ_FACTOR: usize = 8;

/// Reads a body of at most `limit` bytes.
pub(crate) async fn bytes<B: From<Bytes>>(
    body: Incoming,
    limit: usize,
) -> Result<Bytes, Box<Response<B>>> {
    let read = Limited::new(body, limit.saturating_mul(READ_FACTOR));
    match read.collect().await {
        Ok(body) => Some(body.to_bytes()),
        Err(_) => None,
    }
    .filter(|bytes| bytes.len() <= limit)
    .ok_or_else(|| {
        Box::new(refusal(
            StatusCode::PAYLOAD_TOO_LARGE,
            "the body is too large",
        ))
    })
}

/// Parses a JSON body.
pub(crate) fn parse<T: DeserializeOwned, B: From<Bytes>>(
    bytes: &[u8],
) -> Result<T, Box<Response<B>>> {
    serde_json::from_slice(bytes)
        .map_err(|error| Box::new(refusal(StatusCode::BAD_REQUEST, &error.to_string())))
}

/// Returns parameter `name` of the query, as it stands.
pub(crate) fn query<'a>(uri: &'a Uri, name: &str) -> Option<&'a str> {
    let pairs = uri.query()?.split('&');
    pairs
        .filter_map(|pair| pair.split_once('='))
        .find_map(|(key, value)| (key == name).then_some(value))
}

/// Returns header `name`, if it is text.
pub(crate) fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Returns an answer of `status` whose body is `value` as JSON.
pub(crate) fn json<T: Serialize, B: From<Bytes>>(status: StatusCode, value: &T) -> Response<B> {
    let bytes = serde_json::to_vec(value).map_or_else(|_| Bytes::new(), Bytes::from);
    let mut response = Response::new(B::from(bytes));
    *response.status_mut() = status;
    let content_type = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}

/// Returns an answer of `status` with `detail` as its reason.
pub(crate) fn refusal<B: From<Bytes>>(status: StatusCode, detail: &str) -> Response<B> {
    json(status, &json!({ "detail": detail }))
}

/// Returns the status of an answer to an order.
pub(crate) const fn status(reply: Reply) -> StatusCode {
    match reply {
        Reply::Taken => StatusCode::OK,
        Reply::Refused => StatusCode::UNPROCESSABLE_ENTITY,
        Reply::Fenced => StatusCode::CONFLICT,
    }
}
