//! The limit of a group, as load reports state it.

use std::time::Duration;

use cactusnotch_base::clock;
use cactusnotch_overload::{Ceiling, Limit, limit};

/// Reports with time in milliseconds, epoch and limit, then the time of the check and the
/// expected limit with its age.
type Case = (
    &'static [(u64, u64, Option<f64>)],
    Duration,
    Option<(f64, Duration)>,
);

/// Guards against the limit of a leader that was replaced, and against one that is kept
/// although its leader has been silent for long.
#[test]
fn the_latest_epoch_and_the_age_decide_whether_a_limit_is_valid() {
    let start = clock::now();
    let valid = limit::VALID_TIME;
    let ms = Duration::from_millis;
    let cases: [Case; 7] = [
        (&[], ms(0), None),
        (&[(0, 1, Some(0.5))], ms(0), Some((0.5, ms(0)))),
        (&[(0, 1, Some(0.5))], valid, Some((0.5, valid))),
        (&[(0, 1, Some(0.5))], valid + ms(1), None),
        // Some ranks have not received the limit yet.
        (
            &[(0, 1, Some(0.5)), (9, 1, None)],
            ms(9),
            Some((0.5, ms(9))),
        ),
        (
            &[(0, 2, Some(0.5)), (9, 1, Some(0.9))],
            ms(9),
            Some((0.5, ms(9))),
        ),
        (&[(0, 1, Some(0.9)), (9, 2, None)], ms(9), None),
    ];
    for (reports, at, expected) in cases {
        let mut limit = Limit::default();
        for &(time, epoch, stated) in reports {
            limit.apply(epoch, stated.map(Ceiling::new), start + ms(time));
        }
        let expected = expected.map(|(stated, age)| (Ceiling::new(stated), age));
        assert_eq!(limit.stated(start + at), expected, "{reports:?} at {at:?}");
    }
}

/// Guards against a new epoch that is logged with each report, or not at all.
#[test]
fn only_the_first_report_of_a_later_epoch_is_new() {
    let mut limit = Limit::default();
    let now = clock::now();
    let new = [1, 1, 3, 2, 3].map(|epoch| limit.apply(epoch, None, now));
    assert_eq!(new, [true, false, true, false, false]);
    assert_eq!(limit.epoch(), 3);
}

/// Guards against a group whose stated limits are ignored for good after its epochs were
/// numbered anew, and against a rank of an earlier epoch that ends the latest one.
#[test]
fn an_earlier_epoch_counts_once_the_latest_is_not_reported() {
    let start = clock::now();
    let early = start + limit::EPOCH_TIME.saturating_sub(Duration::from_millis(1));
    let late = start + limit::EPOCH_TIME;
    let mut group = Limit::default();
    let stated = Some(Ceiling::new(0.5));
    assert!(group.apply(9, None, start));
    assert!(!group.apply(1, stated, early));
    assert_eq!((group.epoch(), group.stated(early)), (9, None));
    assert!(group.apply(1, stated, late));
    assert!(!group.apply(1, stated, late));
    assert_eq!(group.epoch(), 1);
    assert!(group.stated(late).is_some());
    // The latest epoch is reported on and on.
    assert!(group.apply(9, None, late));
    assert!(!group.apply(9, None, late + limit::EPOCH_TIME));
    assert!(!group.apply(1, stated, late + limit::EPOCH_TIME));
}

/// Guards against the model of a balanced map for a group under map 0, and against that of map
/// 0 once the leader has stated a limit or is silent for long.
#[test]
fn a_group_is_forming_until_a_limit_is_stated_or_its_epoch_is_old() {
    let start = clock::now();
    let last = start + limit::NEW_TIME.saturating_sub(Duration::from_millis(1));
    let mut group = Limit::default();
    assert!(!group.is_forming(start), "it belongs to no epoch");
    group.apply(1, None, start);
    group.apply(1, None, last);
    assert!(group.is_forming(last));
    assert!(!group.is_forming(start + limit::NEW_TIME));
    group.apply(1, Some(Ceiling::new(0.5)), start);
    assert!(!group.is_forming(start));
    assert!(!group.is_forming(start + limit::VALID_TIME * 2));
    group.apply(2, None, last);
    assert!(group.is_forming(last + limit::VALID_TIME));
}

/// Guards against a garbled limit that closes a group or exceeds its slots.
#[test]
fn a_limit_beyond_the_slots_is_bounded_and_one_of_zero_is_none() {
    let now = clock::now();
    let ceiling = |thousandths: u16| -> Ceiling {
        let value = ciborium::Value::from(thousandths);
        value.deserialized().expect("it is a number")
    };
    let mut group = Limit::default();
    group.apply(1, Some(ceiling(0)), now);
    assert_eq!(group.stated(now), None);
    group.apply(1, Some(ceiling(u16::MAX)), now);
    assert_eq!(group.stated(now), Some((Ceiling::FULL, Duration::ZERO)));
}
