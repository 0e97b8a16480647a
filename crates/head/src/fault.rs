//! Why the head of a response is invalid.

use derive_more::{Display, Error};
use http::{HeaderValue, StatusCode};

/// Why the head of a response is invalid.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum Fault {
    /// The status isn't that of a final response.
    #[display("the status {} is not that of a final response", status.as_u16())]
    Status {
        /// The status.
        status: StatusCode,
    },
    /// The body has another transfer coding than `chunked`, or several.
    #[display("the transfer coding {} is not chunked alone", Excerpt(value))]
    Coding {
        /// The transfer coding.
        value: HeaderValue,
    },
    /// The length is stated several times, or isn't a number.
    #[display("the length {} is not one number", Excerpt(value))]
    Length {
        /// The length.
        value: HeaderValue,
    },
    /// The body has both a length and a transfer coding, and their ends may differ.
    #[display("both a length and a transfer coding")]
    Framings,
    /// A line ends unlike those before it.
    #[display("a line that ends unlike those before it")]
    LineEnd,
    /// The status says that there is no body, and other fields that there is one.
    #[display("a body after a status without one")]
    Body,
}

/// The start of a header value, escaped.
#[derive(Debug)]
struct Excerpt<'a>(&'a HeaderValue);

impl std::fmt::Display for Excerpt<'_> {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let bytes = self.0.as_bytes();
        let start = &bytes[..bytes.len().min(EXCERPT_BYTES)];
        write!(formatter, "\"{}\"", start.escape_ascii())
    }
}

/// The length of an excerpt: endpoints in trouble may send long values.
const EXCERPT_BYTES: usize = 64;
