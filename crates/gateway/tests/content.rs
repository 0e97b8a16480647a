//! Fingerprints distinguish requests and are the same for all attempts of one.

use cactusnotch_gateway::content::{Fingerprint, Parts};
use http::Method;

const PARTS: Parts<'_> = Parts {
    organisation: Some("weavers"),
    method: &Method::POST,
    host: b"shop.example",
    target: "/stream/a?n=1",
    body: b"prompt",
};

#[test]
fn an_attempt_has_the_content_of_the_one_before() {
    assert_eq!(Fingerprint::of(&PARTS), Fingerprint::of(&PARTS.clone()));
}

#[test]
fn requests_that_differ_in_one_part_differ() {
    let others = [
        Parts {
            organisation: Some("dyers"),
            ..PARTS
        },
        Parts {
            organisation: None,
            ..PARTS
        },
        Parts {
            method: &Method::GET,
            ..PARTS
        },
        Parts {
            host: b"shop.example.org",
            ..PARTS
        },
        Parts {
            target: "/stream/a?n=2",
            ..PARTS
        },
        Parts {
            body: b"prompt.",
            ..PARTS
        },
    ];
    for other in others {
        assert_ne!(
            Fingerprint::of(&PARTS),
            Fingerprint::of(&other),
            "{other:?}"
        );
    }
}

#[test]
fn what_moves_from_one_part_to_the_next_makes_another_request() {
    let moved = Parts {
        target: "/stream/a?n=1p",
        body: b"rompt",
        ..PARTS
    };
    assert_ne!(Fingerprint::of(&PARTS), Fingerprint::of(&moved));
}

#[test]
fn what_is_written_is_read_again() {
    let content = Fingerprint::of(&PARTS);
    assert_eq!(Fingerprint::parse(&content.to_string()), Some(content));
    for text in ["", "xyz", &"0".repeat(31), &"+".repeat(32), &"é".repeat(16)] {
        assert_eq!(Fingerprint::parse(text), None, "{text}");
    }
}
