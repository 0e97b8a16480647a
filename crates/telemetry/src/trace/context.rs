//! The trace context that is propagated with a request.

use std::fmt;
use std::str::FromStr;

use cactusnotch_derive::message;
use derive_more::{Display, Error as StdError};
use rand::Rng;

use crate::trace::id;

/// The name of the HTTP header that carries a [`Context`].
pub const HEADER: &str = "traceparent";

/// The length of a header of version 00, in bytes.
const LENGTH: usize = 55;

/// The flag of a sampled trace.
const SAMPLED: u8 = 1;

/// The trace context that is propagated with a request, in messages and in the
/// `traceparent` header.
///
/// ```
/// use cactusnotch_telemetry::trace::Context;
///
/// let header = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";
/// let context: Context = header.parse()?;
/// assert!(context.sampled);
/// assert_eq!(context.to_string(), header);
/// # Ok::<(), cactusnotch_telemetry::trace::Error>(())
/// ```
#[message]
#[derive(Copy, Eq)]
pub struct Context {
    /// The trace, the same at every hop.
    pub trace_id: id::Trace,
    /// The span that caused the next hop.
    pub span_id: id::Span,
    /// Whether the spans of the trace are written.
    pub sampled: bool,
}

/// A header that is not a valid trace context.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, StdError)]
#[display("not a traceparent: {expected} expected")]
pub struct Error {
    expected: &'static str,
}

impl Context {
    /// Starts a trace.
    pub fn root(random: &mut impl Rng, sampled: bool) -> Self {
        Self {
            trace_id: id::Trace::random(random),
            span_id: id::Span::random(random),
            sampled,
        }
    }

    /// Continues the trace of a caller's header. A missing or malformed header
    /// starts a new trace, as the standard requires.
    pub fn from_header(header: Option<&str>, random: &mut impl Rng, sampled: bool) -> Self {
        header
            .and_then(|text| text.parse().ok())
            .unwrap_or_else(|| Self::root(random, sampled))
    }

    /// Returns the context of a new span in the same trace.
    #[must_use]
    pub fn child(&self, random: &mut impl Rng) -> Self {
        Self {
            span_id: id::Span::random(random),
            ..*self
        }
    }
}

impl fmt::Display for Context {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let flags = u8::from(self.sampled);
        write!(
            formatter,
            "00-{}-{}-{flags:02x}",
            self.trace_id, self.span_id
        )
    }
}

impl FromStr for Context {
    type Err = Error;

    /// Parses a header of version 00, or the fields of that version in a later
    /// one.
    fn from_str(text: &str) -> Result<Self, Error> {
        let mut fields = text.split('-');
        let version = fields
            .next()
            .and_then(byte)
            .filter(|&version| version != u8::MAX);
        let version = version.ok_or(expected("a version of two digits"))?;
        let trace_id = fields.next().and_then(id::Trace::parse);
        let span_id = fields.next().and_then(id::Span::parse);
        let flags = fields.next().and_then(byte);
        if version == 0 && text.len() != LENGTH {
            return Err(expected("four fields"));
        }
        Ok(Self {
            trace_id: trace_id.ok_or(expected("a trace id of 32 digits"))?,
            span_id: span_id.ok_or(expected("a parent id of 16 digits"))?,
            sampled: flags.ok_or(expected("flags of two digits"))? & SAMPLED != 0,
        })
    }
}

const fn expected(expected: &'static str) -> Error {
    Error { expected }
}

fn byte(text: &str) -> Option<u8> {
    let lower = |byte: u8| matches!(byte, b'0'..=b'9' | b'a'..=b'f');
    if text.len() != 2 || !text.bytes().all(lower) {
        return None;
    }
    u8::from_str_radix(text, 16).ok()
}
