//! The media type of streams.

use cactusnotch_events::media::is_stream;

/// Guards against streams that are relayed unread since their media type is written in other
/// letters or has a parameter.
#[test]
fn the_type_of_streams_is_known_in_all_its_forms() {
    for value in [
        "text/event-stream",
        "Text/Event-Stream",
        "TEXT/EVENT-STREAM",
        " text/event-stream ",
        "text/event-stream;charset=utf-8",
        "text/event-stream ; charset=utf-8",
    ] {
        assert!(is_stream(value.as_bytes()), "{value:?}");
    }
}

#[test]
fn other_types_are_no_streams() {
    for value in [
        "",
        ";",
        "text",
        "text/event",
        "text/event-streams",
        "text/event-stream2;charset=utf-8",
        "application/json; x=text/event-stream",
        "text /event-stream",
        "text/event\u{2010}stream",
    ] {
        assert!(!is_stream(value.as_bytes()), "{value:?}");
    }
}
