//! The check of a head.

use http::header::{CONTENT_LENGTH, HeaderMap, HeaderValue, TRANSFER_ENCODING};

use crate::fault::Fault;

/// The only transfer coding that callers ask for.
const CHUNKED: &[u8] = b"chunked";

/// Checks that a response states at most one way to find the end of its body, and one that is
/// known.
///
/// # Errors
///
/// Returns the first fault.
pub fn check(headers: &HeaderMap) -> Result<(), Fault> {
    check_coding(headers)?;
    check_length(headers)
}

fn check_coding(headers: &HeaderMap) -> Result<(), Fault> {
    let mut values = headers.get_all(TRANSFER_ENCODING).iter();
    let Some(first) = values.next() else {
        return Ok(());
    };
    match values.next() {
        None if is_chunked(first) => Ok(()),
        second => Err(Fault::Coding {
            value: second.unwrap_or(first).clone(),
        }),
    }
}

fn check_length(headers: &HeaderMap) -> Result<(), Fault> {
    let mut values = headers.get_all(CONTENT_LENGTH).iter();
    let Some(first) = values.next() else {
        return Ok(());
    };
    if headers.contains_key(TRANSFER_ENCODING) {
        return Err(Fault::Framings);
    }
    match values.next() {
        None if is_number(first) => Ok(()),
        second => Err(Fault::Length {
            value: second.unwrap_or(first).clone(),
        }),
    }
}

fn is_number(value: &HeaderValue) -> bool {
    let digits = value.as_bytes();
    !digits.is_empty() && digits.iter().all(u8::is_ascii_digit)
}

fn is_chunked(value: &HeaderValue) -> bool {
    value.as_bytes().eq_ignore_ascii_case(CHUNKED)
}
