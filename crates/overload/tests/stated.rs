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
