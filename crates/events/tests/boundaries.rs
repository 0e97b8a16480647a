//! Streams are split after complete events, however their bytes arrive.

use bytes::Bytes;
use cactusnotch_events::{Ids, Reader};
use proptest::prelude::*;

fn stream(events: u64) -> Vec<u8> {
    let event = |id: u64| {
        format!(
            "id: {id}\ndata: {}\n\n",
            "x".repeat(usize::try_from(id * 7 % 40).unwrap_or(0))
        )
    };
    (1..=events).flat_map(|id| event(id).into_bytes()).collect()
}

proptest! {
    #[test]
    fn bytes_arrive_unchanged_and_only_in_whole_events(
        events in 1_u64..30,
        cuts in proptest::collection::vec(1_usize..60, 1..60),
    ) {
        let sent = stream(events);
        let mut rest = sent.as_slice();
        let mut cuts = cuts.into_iter().cycle();
        let mut boundaries = Reader::new(Ids::Increasing, None);
        let mut passed = Vec::new();
        while !rest.is_empty() {
            let (piece, after) = rest.split_at(cuts.next().unwrap_or(1).min(rest.len()));
            rest = after;
            let whole = boundaries.push(&Bytes::copy_from_slice(piece));
            passed.extend_from_slice(&whole);
            prop_assert!(passed.is_empty() || passed.ends_with(b"\n\n"));
        }
        prop_assert_eq!(boundaries.held(), 0);
        prop_assert_eq!(boundaries.last(), Some(events));
        prop_assert_eq!(passed, sent);
    }

    #[test]
    fn a_stream_cut_anywhere_goes_on_after_its_last_whole_event(
        events in 2_u64..20,
        cut in 1_usize..400,
    ) {
        let sent = stream(events);
        let cut = cut.min(sent.len());
        let mut boundaries = Reader::new(Ids::Increasing, None);
        let mut passed = boundaries.push(&Bytes::copy_from_slice(&sent[..cut])).to_vec();
        boundaries.restart();
        let last = boundaries.last().unwrap_or(0);
        let rest = &sent[stream(last).len()..];
        passed.extend_from_slice(&boundaries.push(&Bytes::copy_from_slice(rest)));
        prop_assert_eq!(passed, sent);
    }
}

#[test]
fn a_stream_that_is_resumed_begins_at_the_callers_last_event() {
    assert_eq!(Reader::new(Ids::Increasing, Some(12)).last(), Some(12));
}

#[test]
fn lines_may_end_in_a_carriage_return() {
    let mut events = Reader::new(Ids::Increasing, None);
    let whole = events.push(&Bytes::from_static(b"id: 4\r\ndata: a\r\n\r\nid: 5\r\n"));
    assert_eq!(&whole[..], b"id: 4\r\ndata: a\r\n\r\n");
    assert_eq!(events.last(), Some(4));
}
