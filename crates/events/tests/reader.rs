//! Streams are passed on in complete events, however their bytes arrive, and up to the first byte
//! that fits no event.

mod reference;

use bytes::Bytes;
use cactusnotch_events::{Fault, Ids, Reader};
use proptest::prelude::*;

use reference::{bytes, decode, encode, streams};

/// The byte order mark.
const MARK: &[u8] = "\u{feff}".as_bytes();

/// What a reader made of a response.
#[derive(Debug, PartialEq)]
struct Outcome {
    passed: Vec<u8>,
    end: Result<(), Fault>,
    last: Option<u64>,
}

/// Adds bytes in pieces of these lengths and returns what is passed on.
fn push(reader: &mut Reader, bytes: &[u8], cuts: &[usize]) -> Vec<u8> {
    let mut rest = bytes;
    let mut cuts = cuts.iter().copied().cycle();
    let mut passed = Vec::new();
    while !rest.is_empty() {
        let (piece, after) = rest.split_at(cuts.next().unwrap_or(1).min(rest.len()));
        rest = after;
        passed.extend_from_slice(&reader.push(&Bytes::copy_from_slice(piece)));
    }
    passed
}

/// Reads a response in pieces of these lengths, up to its end.
fn read_with(reader: &mut Reader, response: &[u8], cuts: &[usize]) -> Outcome {
    let mut passed = push(reader, response, cuts);
    let end = reader.finish().map(|rest| passed.extend_from_slice(&rest));
    let last = reader.last();
    Outcome { passed, end, last }
}

fn read(response: &[u8], cuts: &[usize]) -> Outcome {
    read_with(&mut Reader::new(Ids::Increasing, None), response, cuts)
}

/// Returns whether `passed` is the response up to `end`, where a line feed that belongs to the
/// last line end may follow.
fn is_prefix(passed: &[u8], response: &[u8], end: usize) -> bool {
    let with_feed = response[end..].starts_with(b"\n") && response[..end].ends_with(b"\r");
    passed == &response[..end] || with_feed && passed == &response[..=end]
}

fn cuts() -> impl Strategy<Value = Vec<usize>> {
    proptest::collection::vec(1_usize..60, 1..60)
}

proptest! {
    /// Guards against a sound stream that is cut off or changed.
    #[test]
    fn a_sound_stream_is_passed_on_unchanged_wherever_it_is_cut(
        events in streams(),
        has_mark in any::<bool>(),
        cuts in cuts(),
    ) {
        let stream = encode(&events, has_mark);
        let outcome = read(&stream, &cuts);
        prop_assert_eq!(outcome.end, Ok(()));
        prop_assert_eq!(outcome.passed, stream);
        prop_assert_eq!(outcome.last, events.last().map(|event| event.id));
    }

    /// Guards against events that are held back although they are complete.
    #[test]
    fn an_event_is_passed_on_with_its_last_byte(events in streams()) {
        let stream = encode(&events, false);
        let ends = reference::read(&stream).ends;
        let mut reader = Reader::new(Ids::Increasing, None);
        let mut passed = 0;
        for (at, byte) in stream.iter().enumerate() {
            passed += reader.push(&Bytes::copy_from_slice(&[*byte])).len();
            let complete = ends.iter().rfind(|&&end| end <= at + 1);
            prop_assert_eq!(passed, complete.copied().unwrap_or(0));
        }
    }

    /// Guards against a resumed stream in which an event is missing or comes twice.
    #[test]
    fn a_stream_cut_anywhere_goes_on_after_its_last_complete_event(
        events in streams(),
        cut in any::<prop::sample::Index>(),
        has_mark in any::<bool>(),
        cuts in cuts(),
    ) {
        let stream = encode(&events, false);
        let mut reader = Reader::new(Ids::Increasing, None);
        let mut passed = push(&mut reader, &stream[..cut.index(stream.len() + 1)], &cuts);
        prop_assert!(reader.is_resumable());
        reader.restart();
        let done = events.iter().filter(|event| Some(event.id) <= reader.last()).count();
        let rest = read_with(&mut reader, &encode(&events[done..], has_mark), &cuts);
        prop_assert_eq!(rest.end, Ok(()));
        passed.extend_from_slice(&rest.passed);
        let has_mark = passed.windows(MARK.len()).any(|bytes| bytes == MARK);
        prop_assert!(!has_mark);
        prop_assert_eq!(decode(&passed), decode(&stream));
    }

    /// Guards against bytes of a server in trouble that callers take for an event.
    #[test]
    fn nothing_is_passed_on_from_the_first_bytes_on_that_fit_no_event(
        events in streams(),
        at in any::<prop::sample::Index>(),
        bytes in bytes(),
        goes_on in any::<bool>(),
        cuts in cuts(),
    ) {
        let stream = encode(&events, false);
        let (before, after) = stream.split_at(at.index(stream.len() + 1));
        let spoilt = [before, &bytes, if goes_on { after } else { b"" }].concat();
        let expected = reference::read(&spoilt);
        let outcome = read(&spoilt, &cuts);
        prop_assert_eq!(outcome.end.is_ok(), expected.is_whole, "{:?}", outcome.end);
        let last = expected.ends.last().copied().unwrap_or(0);
        let end = if expected.is_whole { spoilt.len() } else { last };
        prop_assert!(is_prefix(&outcome.passed, &spoilt, end));
    }

    /// The same between two events, where a server stops and other bytes follow.
    #[test]
    fn bytes_that_are_no_line_end_the_stream_at_the_event_before_them(
        events in streams(),
        count in any::<prop::sample::Index>(),
        first in any::<u8>().prop_filter("a field may begin so", |byte| {
            !byte.is_ascii_lowercase() && !b":\r\n\xef".contains(byte)
        }),
        rest in bytes(),
        cuts in cuts(),
    ) {
        let sound = encode(&events[..count.index(events.len() + 1)], false);
        let spoilt = [&sound[..], &[first], &rest].concat();
        let outcome = read(&spoilt, &cuts);
        prop_assert!(outcome.end.is_err());
        let end = reference::read(&sound).ends.last().copied().unwrap_or(0);
        prop_assert!(is_prefix(&outcome.passed, &sound, end));
    }

    /// Guards against a long event that is resumed in its middle, or passed on with a wrong id.
    #[test]
    fn a_long_event_is_passed_on_as_it_arrives_but_for_its_end(
        id in 0_u64..9,
        id_is_last in any::<bool>(),
        length in 70_000_usize..200_000,
        cut in 1_000_usize..20_000,
    ) {
        let data = format!("data: {}\n", "x".repeat(length));
        let id_line = format!("id: {id}\n");
        let long = if id_is_last { data + &id_line } else { id_line + &data };
        let before = "id: 4\ndata: a\n\n";
        let stream = format!("{before}{long}\n");
        let mut reader = Reader::new(Ids::Increasing, None);
        let outcome = read_with(&mut reader, stream.as_bytes(), &[cut]);
        if id > 4 {
            prop_assert_eq!(outcome.end, Ok(()));
            prop_assert_eq!(outcome.passed, stream.as_bytes());
            prop_assert_eq!((outcome.last, reader.is_resumable()), (Some(id), true));
        } else {
            prop_assert_eq!(outcome.end, Err(Fault::Order { id, last: 4 }));
            prop_assert!(stream.as_bytes().starts_with(&outcome.passed));
            prop_assert!(!outcome.passed[before.len()..].ends_with(b"\n\n"));
            let is_exposed = outcome.passed.len() > before.len();
            prop_assert_eq!((outcome.last, reader.is_resumable()), (Some(4), !is_exposed));
        }
    }
}

/// Guards against each form of bytes that ended in an empty line and was taken for an event.
#[test]
fn what_is_no_event_has_a_fault() {
    for (bytes, fault) in [
        ("garbage\n\n", Fault::Line),
        (
            "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n",
            Fault::Line,
        ),
        ("<html>\n\n", Fault::Line),
        ("{\"error\":1}\n\n", Fault::Line),
        ("data: x\n\n", Fault::NoId),
        ("data\n\n", Fault::NoId),
        ("event: x\n\n", Fault::NoId),
        ("id: 3\n\n", Fault::NoData),
        ("id: 3\nevent: x\n\n", Fault::NoData),
        ("id: 2\ndata: x\n\n", Fault::Order { id: 2, last: 2 }),
        ("id: 1\ndata: x\n\n", Fault::Order { id: 1, last: 2 }),
        ("id: 3\nid: 4\ndata: x\n\n", Fault::TwoIds),
        ("id\ndata: x\n\n", Fault::Id),
        ("id: -3\ndata: x\n\n", Fault::Id),
        ("id: 3x\ndata: x\n\n", Fault::Id),
        ("id: 99999999999999999999\ndata: x\n\n", Fault::Id),
        ("id: 3\ndata: x\nContent-Length: 0\n\n", Fault::Line),
        ("id: 3\ndata: x\r500 Oops\n\n", Fault::Line),
        ("id: 3\ndata: x\n", Fault::Unfinished),
        ("id: 3\ndata: x", Fault::Unfinished),
        ("id", Fault::Unfinished),
        ("\u{feff}id: 3\ndata: x\n\n", Fault::Line),
    ] {
        let sound = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
        for cut in [1, 3, 1_000] {
            let outcome = read(format!("{sound}{bytes}").as_bytes(), &[cut]);
            assert_eq!(outcome.end, Err(fault), "{bytes:?} in pieces of {cut}");
            assert_eq!(outcome.passed, sound.as_bytes(), "{bytes:?}");
            assert_eq!(outcome.last, Some(2), "{bytes:?}");
        }
    }
    let outcome = read(b"id: 1\ndata: a\n\nid: 2\ndata: \xff\n\n", &[7]);
    assert_eq!(outcome.end, Err(Fault::Text));
    assert_eq!(outcome.passed, b"id: 1\ndata: a\n\n");
}

/// Guards against bytes without a line end that are held until the stream ends.
#[test]
fn a_fault_is_found_with_the_first_byte_that_shows_it() {
    let mut reader = Reader::new(Ids::Increasing, None);
    assert!(reader.push(&Bytes::from_static(b"id: 1\nH")).is_empty());
    assert_eq!(reader.fault(), Some(Fault::Line));
    assert!(
        reader
            .push(&Bytes::from_static(b"\n\nid: 2\ndata: b\n\n"))
            .is_empty()
    );
}

#[test]
fn a_stream_that_is_resumed_begins_after_the_callers_last_event() {
    let mut reader = Reader::new(Ids::Increasing, Some(12));
    assert_eq!(reader.last(), Some(12));
    let outcome = read_with(&mut reader, b"id: 12\ndata: x\n\n", &[100]);
    assert_eq!(outcome.end, Err(Fault::Order { id: 12, last: 12 }));
    reader.restart();
    let outcome = read_with(&mut reader, b"id: 13\ndata: x\n\n", &[100]);
    assert_eq!(outcome.last, Some(13));
}

#[test]
fn a_stream_that_has_nothing_left_is_whole() {
    let mut reader = Reader::new(Ids::Increasing, Some(12));
    assert_eq!(reader.finish(), Ok(Bytes::new()));
}

#[test]
fn events_without_ids_are_passed_on_where_ids_are_free() {
    let stream = b"data: {}\n\nid: x\ndata: {}\n\ndata: [DONE]\n\n";
    let outcome = read_with(&mut Reader::new(Ids::Free, None), stream, &[5]);
    assert_eq!((outcome.end, &outcome.passed[..]), (Ok(()), &stream[..]));
    let outcome = read_with(
        &mut Reader::new(Ids::Free, None),
        b"data: {}\n\n503\n\n",
        &[5],
    );
    assert_eq!(outcome.end, Err(Fault::Line));
}

/// Guards against memory that grows with comments and empty lines.
#[test]
fn comments_without_end_are_a_fault() {
    for filler in [": x\n", "\n", ": x\n\n", "retry: 5\n\n"] {
        let outcome = read(filler.repeat(80_000).as_bytes(), &[1_000]);
        assert_eq!(outcome.end, Err(Fault::Filler), "{filler:?}");
        assert!(outcome.passed.is_empty());
    }
}

/// Guards against memory that grows with the length of an event.
#[test]
fn a_long_event_is_held_in_bounded_memory() {
    let mut reader = Reader::new(Ids::Increasing, None);
    let (mut passed, mut most) = (0, 0);
    passed += reader.push(&Bytes::from_static(b"id: 1\ndata: ")).len();
    for _ in 0..1_024 {
        passed += reader.push(&Bytes::from(vec![b'x'; 1_024])).len();
        most = most.max(reader.held());
    }
    passed += reader.push(&Bytes::from_static(b"\n\n")).len();
    assert_eq!((passed, reader.last()), (12 + 1_024 * 1_024 + 2, Some(1)));
    assert!(most <= 66 * 1_024, "{most} bytes held");
}
