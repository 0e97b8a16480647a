//! The account of late and refused streams: one cause for each, and the command's output.

use std::process::Command;
use std::time::Duration;

use cactusnotch::account::cause::{Cause, Stream, Surroundings};
use cactusnotch::account::history::{Event, History};

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A stream whose longest gap is 4 ms too long.
const LATE: Stream = Stream {
    returned: false,
    resumed: false,
    first: Some(ms(290)),
    target: Some(ms(500)),
    gap: Some(ms(154)),
    target_gap: Some(ms(150)),
};

const QUIET: Surroundings = Surroundings {
    shift: false,
    map: false,
    broken: false,
    slow: false,
    fill: None,
    limit: None,
};

/// Guards against a stream that is counted under a cause that another one explains: the
/// causes stand in the order in which they are decided.
#[test]
fn a_late_stream_has_the_first_cause_that_holds() {
    let on_time = Stream {
        gap: Some(ms(150)),
        ..LATE
    };
    let late_first = Stream {
        first: Some(ms(501)),
        ..LATE
    };
    let all = Surroundings {
        shift: true,
        map: true,
        broken: true,
        slow: true,
        fill: Some(0.9),
        limit: None,
    };
    let filled = |fill, limit| Surroundings {
        fill: Some(fill),
        limit,
        ..QUIET
    };
    let rows = [
        (on_time, all, None),
        (
            Stream {
                returned: true,
                ..late_first
            },
            all,
            Some(Cause::Returned),
        ),
        (late_first, all, Some(Cause::First)),
        (
            Stream {
                first: Some(ms(501)),
                ..on_time
            },
            QUIET,
            Some(Cause::First),
        ),
        (LATE, all, Some(Cause::Broken)),
        (
            LATE,
            Surroundings {
                broken: false,
                ..all
            },
            Some(Cause::Slow),
        ),
        (
            Stream {
                resumed: true,
                ..LATE
            },
            Surroundings {
                shift: true,
                ..QUIET
            },
            Some(Cause::Broken),
        ),
        (
            LATE,
            Surroundings {
                shift: true,
                map: true,
                ..QUIET
            },
            Some(Cause::Shift),
        ),
        (
            LATE,
            Surroundings {
                map: true,
                ..filled(0.9, None)
            },
            Some(Cause::Map),
        ),
        (LATE, filled(0.6, None), Some(Cause::Fill)),
        (LATE, filled(0.59, None), Some(Cause::Gap)),
        (LATE, filled(0.5, Some(0.5)), Some(Cause::Fill)),
        (LATE, filled(0.7, Some(0.8)), Some(Cause::Gap)),
        (
            Stream {
                target_gap: None,
                ..LATE
            },
            all,
            None,
        ),
    ];
    for (stream, around, expected) in rows {
        assert_eq!(
            Cause::of_late(&stream, &around),
            expected,
            "{stream:?} {around:?}"
        );
    }
}

#[test]
fn a_refusal_has_the_stated_cause_or_that_of_its_outcome() {
    let busy = "the endpoints are busy";
    let rows = [
        (Some("hopeless"), "", true, Cause::Hopeless),
        (Some("expired"), busy, false, Cause::Expired),
        (Some("full"), busy, false, Cause::Full),
        (None, busy, false, Cause::Hopeless),
        (None, busy, true, Cause::Expired),
        (
            None,
            "no endpoint took the request",
            false,
            Cause::NoEndpoint,
        ),
        (
            None,
            "the endpoints take no more requests for now",
            false,
            Cause::NoEndpoint,
        ),
        (None, "the entry stops", true, Cause::Otherwise),
    ];
    for (stated, outcome, waited, expected) in rows {
        assert_eq!(
            Cause::of_refusal(stated, outcome, waited),
            expected,
            "{stated:?} {outcome}"
        );
    }
}

/// Guards against windows that tie a gap to an event that can't have caused it, such as the
/// shift before (they are 3.5 s apart) or that of another group.
#[test]
fn events_count_for_gaps_of_their_group_and_time() {
    let mut history = History::default();
    history.record("g-1", ms(10_000), Event::Shift);
    history.record("g-1", ms(20_000), Event::Map);
    history.record("g-1", ms(30_000), Event::Broken);
    history.record("g-1", ms(40_000), Event::Slow);
    history.record("g-1", ms(50_000), Event::Even);
    let around = |begun: u64| history.around("g-1", ms(begun), ms(begun + 150));
    let shift = [9_400, 9_600, 10_550, 10_700].map(|begun| around(begun).shift);
    assert_eq!(shift, [false, true, true, false]);
    let map = [19_700, 19_800, 20_050, 20_200].map(|begun| around(begun).map);
    assert_eq!(map, [false, true, true, false]);
    let broken = [28_800, 28_900, 30_050, 30_200].map(|begun| around(begun).broken);
    assert_eq!(broken, [false, true, true, false]);
    let slow = [39_700, 39_800, 45_000, 50_000].map(|begun| around(begun).slow);
    assert_eq!(slow, [false, true, true, false]);
    assert_eq!(history.around("g-2", ms(10_000), ms(10_150)), QUIET);
}

fn account(arguments: &[&str]) -> String {
    let output = Command::new(env!("CARGO_BIN_EXE_cactusnotch"))
        .current_dir(concat!(env!("CARGO_MANIFEST_DIR"), "/tests"))
        .arg("account")
        .args(arguments)
        .output()
        .unwrap();
    let error = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(output.status.success(), "{arguments:?}: {error}");
    String::from_utf8(output.stdout).unwrap()
}

/// Guards against lines that are lost or read twice, and against an unreadable line that
/// ends the reading of a file.
#[test]
fn a_recorded_log_is_accounted_for() {
    insta::assert_snapshot!("account_text", account(&["account"]));
    let files = ["account/entry.log", "account/agent.log"];
    insta::assert_snapshot!(
        "account_json",
        account(&["--format", "json", files[0], files[1]])
    );
}

/// Guards against a reader of logs that ends with a line that is nested deeply or has a number
/// that is too large.
#[test]
fn odd_lines_are_passed_over() {
    let deep = |depth: usize| "[".repeat(depth) + &"]".repeat(depth);
    let recorded = std::fs::read_to_string(concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/tests/account/entry.log"
    ));
    let recorded = recorded.unwrap();
    let odd = format!(
        "{{\"message\":\"request ended\",\"ms\":{}}}\n{}\n{{\"ms\":1e99999}}\n{{\"ms\":{}}}\n",
        deep(200),
        deep(300_000),
        "9".repeat(100_000)
    );
    let path = std::env::temp_dir().join(format!("cactusnotch-odd-{}.log", std::process::id()));
    std::fs::write(&path, odd + &recorded).unwrap();
    let with_odd = account(&["--format", "json", path.to_str().unwrap()]);
    std::fs::remove_file(&path).unwrap();
    let plain = account(&["--format", "json", "account/entry.log"]);
    let seconds = |text: &str| {
        let value: serde_json::Value = serde_json::from_str(text).unwrap();
        value["seconds"].clone()
    };
    assert_ne!(seconds(&plain), serde_json::Value::Null);
    assert_eq!(seconds(&with_odd), seconds(&plain));
}

#[test]
fn a_missing_file_is_named() {
    let output = Command::new(env!("CARGO_BIN_EXE_cactusnotch"))
        .args(["account", "/nonexistent/log"])
        .output()
        .unwrap();
    let error = String::from_utf8(output.stderr).unwrap();
    assert!(
        !output.status.success() && error.contains("reading /nonexistent/log"),
        "{error}"
    );
}
