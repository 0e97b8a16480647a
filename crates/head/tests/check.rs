//! Which heads are valid.

use cactusnotch_head::{Fault, check as check_with};
use http::StatusCode;
use http::header::{CONTENT_LENGTH, HeaderMap, HeaderName, HeaderValue, TRANSFER_ENCODING};
use proptest::prelude::*;

fn headers(name: &HeaderName, values: &[&str]) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for value in values {
        let value = HeaderValue::from_str(value).expect("a header value");
        headers.append(name, value);
    }
    headers
}

/// Checks a head with the status 200.
fn check(headers: &HeaderMap) -> Result<(), Fault> {
    check_with(StatusCode::OK, headers)
}

#[test]
fn chunked_alone_is_the_only_transfer_coding() {
    for sound in [&[][..], &["chunked"], &["Chunked"], &["CHUNKED"]] {
        let headers = headers(&TRANSFER_ENCODING, sound);
        assert_eq!(check(&headers), Ok(()), "{sound:?}");
    }
    for spoilt in [
        &[""][..],
        &["chunke"],
        &["chunked, chunked"],
        &["gzip, chunked"],
        &["chunked", "chunked"],
        &["chunked", ""],
        &["", "chunked"],
    ] {
        let headers = headers(&TRANSFER_ENCODING, spoilt);
        assert!(check(&headers).is_err(), "{spoilt:?}");
    }
}

#[test]
fn a_length_is_one_number() {
    for sound in ["0", "4", "0004", "18446744073709551615"] {
        assert_eq!(check(&headers(&CONTENT_LENGTH, &[sound])), Ok(()));
    }
    for spoilt in [
        &[""][..],
        &["+4"],
        &["4 4"],
        &["4,"],
        &["4, 4"],
        &["4", "4"],
        &["4", "2"],
        &["4", ""],
    ] {
        let headers = headers(&CONTENT_LENGTH, spoilt);
        assert!(check(&headers).is_err(), "{spoilt:?}");
    }
}

#[test]
fn a_length_beside_a_transfer_coding_is_a_fault() {
    let mut both = headers(&CONTENT_LENGTH, &["4"]);
    both.extend(headers(&TRANSFER_ENCODING, &["chunked"]));
    assert_eq!(check(&both), Err(Fault::Framings));
}

#[test]
fn a_status_without_a_body_states_none() {
    let check = |headers: &HeaderMap| check_with(StatusCode::NO_CONTENT, headers);
    assert_eq!(check(&HeaderMap::new()), Ok(()));
    assert_eq!(check(&headers(&CONTENT_LENGTH, &["0"])), Ok(()));
    assert_eq!(check(&headers(&CONTENT_LENGTH, &["4"])), Err(Fault::Body));
    let chunked = headers(&TRANSFER_ENCODING, &["chunked"]);
    assert_eq!(check(&chunked), Err(Fault::Body));
}

#[test]
fn a_status_is_that_of_a_final_response() {
    for code in 100..=999 {
        let status = StatusCode::from_u16(code).expect("a status has three digits");
        let is_final = check_with(status, &HeaderMap::new()).is_ok();
        assert_eq!(is_final, (200..600).contains(&code), "{code}");
    }
}

/// Guards against an error that repeats a value of any length.
#[test]
fn a_fault_shows_the_start_of_its_value() {
    let value = "x".repeat(10_000);
    let fault = check(&headers(&TRANSFER_ENCODING, &[&value]));
    let text = fault.expect_err("the coding is unknown").to_string();
    assert!(text.contains("xxx") && text.len() < 200, "{text}");
}

proptest! {
    #[test]
    fn any_other_coding_is_a_fault(value in "[ -~]{0,12}") {
        prop_assume!(!value.eq_ignore_ascii_case("chunked"));
        let fault = check(&headers(&TRANSFER_ENCODING, &[&value]));
        let is_coding = matches!(fault, Err(Fault::Coding { .. }));
        prop_assert!(is_coding);
    }
}
