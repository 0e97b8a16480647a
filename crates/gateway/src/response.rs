//! Responses to callers.

use std::time::Duration;

use http::{Response, StatusCode, header};

use crate::body::Outgoing;
use crate::dialect::Dialect;
use crate::knowledge::SharedState;
use crate::refusal::Refusal;
use crate::request;

/// Creates a refusal; the caller may retry `after` this time.
pub(crate) fn own<D: Dialect>(
    shared: &SharedState,
    refusal: Refusal,
    after: Duration,
) -> Response<Outgoing> {
    let mut response = refusal
        .response::<D>(after)
        .map(|body| Outgoing::Whole(Some(body)));
    close_if_stopping(shared, &mut response);
    response
}

/// Converts an endpoint's response for the caller.
pub(crate) fn relayed(
    shared: &SharedState,
    head: http::response::Parts,
    body: Outgoing,
) -> Response<Outgoing> {
    let mut response = Response::new(body);
    *response.status_mut() = head.status;
    *response.headers_mut() = head.headers;
    request::strip_hop_by_hop(response.headers_mut());
    if head.status == StatusCode::NOT_MODIFIED {
        // It may state the length of what was not modified, which is not that of its own body.
        response.headers_mut().remove(header::CONTENT_LENGTH);
    }
    close_if_stopping(shared, &mut response);
    response
}

fn close_if_stopping(shared: &SharedState, response: &mut Response<Outgoing>) {
    if shared.stopping.get().is_some() {
        response
            .headers_mut()
            .insert(header::CONNECTION, http::HeaderValue::from_static("close"));
    }
}
