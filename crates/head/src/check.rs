//! The check of a head.

use std::ops::RangeInclusive;

use http::header::{CONTENT_LENGTH, HeaderMap, HeaderValue, TRANSFER_ENCODING};
use http::status::StatusCode;

use crate::fault::Fault;

/// The statuses of final responses. Interim ones don't end an exchange, and nobody asks for
/// another protocol (101).
const FINAL: RangeInclusive<u16> = 200..=599;

/// The only transfer coding that callers ask for.
const CHUNKED: &[u8] = b"chunked";

/// Checks that a response has a final status, and states at most one way to find the end of its
/// body.
///
/// # Errors
///
/// Returns the first fault.
pub fn check(status: StatusCode, headers: &HeaderMap) -> Result<(), Fault> {
    check_status(status)?;
    check_coding(headers)?;
    check_length(headers)?;
    check_body(status, headers)
}

fn check_status(status: StatusCode) -> Result<(), Fault> {
    if FINAL.contains(&status.as_u16()) {
        return Ok(());
    }
    Err(Fault::Status { status })
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

/// Checks that a response without a body states none.
fn check_body(status: StatusCode, headers: &HeaderMap) -> Result<(), Fault> {
    let has_length = headers
        .get(CONTENT_LENGTH)
        .is_some_and(|length| length.as_bytes().iter().any(|digit| *digit != b'0'));
    let has_body = has_length || headers.contains_key(TRANSFER_ENCODING);
    if status == StatusCode::NO_CONTENT && has_body {
        return Err(Fault::Body);
    }
    Ok(())
}

fn is_number(value: &HeaderValue) -> bool {
    let digits = value.as_bytes();
    !digits.is_empty() && digits.iter().all(u8::is_ascii_digit)
}

fn is_chunked(value: &HeaderValue) -> bool {
    value.as_bytes().eq_ignore_ascii_case(CHUNKED)
}
