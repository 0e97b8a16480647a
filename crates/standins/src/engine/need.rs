//! What an engine says of itself in the heads of its answers.

use std::time::Duration;

use hyper::header::{HeaderMap, HeaderName, HeaderValue, RETRY_AFTER};

/// The requests a second that it takes.
const RATE_LIMIT: HeaderName = HeaderName::from_static("rate-limit");
/// Whether it is about to leave.
const LEAVING: HeaderName = HeaderName::from_static("leaving");

/// What an engine says of itself in the heads of its answers.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Need {
    /// The requests a second that it takes.
    pub limit: Option<f64>,
    /// The rest that it asks for as it refuses every request.
    pub rest: Option<Duration>,
    /// Whether it takes no new requests since it is about to leave.
    pub leaving: bool,
}

impl Need {
    /// Adds what it says to the head of an answer.
    pub(crate) fn write(&self, headers: &mut HeaderMap) {
        let mut set = |name, text: Option<String>| {
            if let Some(value) = text.and_then(|text| HeaderValue::from_str(&text).ok()) {
                headers.insert(name, value);
            }
        };
        set(RATE_LIMIT, self.limit.map(|limit| limit.to_string()));
        let seconds = self.rest.map(|rest| rest.as_secs_f64().to_string());
        set(RETRY_AFTER, seconds);
        set(LEAVING, self.leaving.then(|| "1".to_owned()));
    }
}
