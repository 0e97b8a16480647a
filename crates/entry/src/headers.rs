//! The headers of callers' requests.

use cactusnotch_base::name::Organisation;
use cactusnotch_base::number::Sequence;
use cactusnotch_base::outcome::Key;
use cactusnotch_ledger::message::Repeat;
use cactusnotch_telemetry::trace::HEADER as TRACEPARENT;
use hyper::header::{CONTENT_TYPE, HeaderMap};

use crate::problem::Problem;

/// The header that names the caller's organisation.
pub(crate) const ORGANISATION: &str = "openai-organization";

/// The header that identifies a request across retries.
const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// The header that states whether a request is idempotent.
const IDEMPOTENT: &str = "cactusnotch-idempotent";

/// The header that names the last event that a caller has received.
pub(crate) const LAST_EVENT_ID: &str = "last-event-id";

/// The values of a request's headers.
#[derive(Debug)]
pub(crate) struct Headers {
    pub(crate) organisation: Organisation,
    pub(crate) key: Option<Key>,
    pub(crate) repeat: Option<Repeat>,
    pub(crate) after: Sequence,
    pub(crate) trace: Option<String>,
    pub(crate) content_type: Option<String>,
}

impl Headers {
    /// Reads the headers of a request.
    pub(crate) fn read(headers: &HeaderMap) -> Result<Self, Problem> {
        let organisation = text(headers, ORGANISATION)?
            .ok_or_else(|| Problem::malformed(format!("the header {ORGANISATION} is missing")))?;
        let repeat = match text(headers, IDEMPOTENT)? {
            None => None,
            Some("true") => Some(Repeat::Idempotent),
            Some("false") => Some(Repeat::Once),
            Some(other) => {
                let detail = format!("header {IDEMPOTENT}: {other:?} is neither true nor false");
                return Err(Problem::malformed(detail));
            }
        };
        let after = match text(headers, LAST_EVENT_ID)? {
            None => Sequence::default(),
            Some(number) => number.parse().map(Sequence).map_err(|_| {
                Problem::malformed(format!("header {LAST_EVENT_ID}: {number:?} is no number"))
            })?,
        };
        Ok(Self {
            organisation: Organisation::new(organisation),
            key: text(headers, IDEMPOTENCY_KEY)?.map(Key::new),
            repeat,
            after,
            trace: text(headers, TRACEPARENT)?.map(str::to_owned),
            content_type: text(headers, CONTENT_TYPE.as_str())?.map(str::to_owned),
        })
    }
}

/// Returns the text of a header, `None` if it is absent.
pub(crate) fn text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Problem> {
    headers
        .get(name)
        .map(|value| {
            value
                .to_str()
                .map_err(|_| Problem::malformed(format!("header {name}: it is not plain text")))
        })
        .transpose()
}
