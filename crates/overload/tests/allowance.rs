//! Sharing of a group's capacity among entries.
//!
//! Load pattern: 13, 33, 149 or 432 entries share one group and see the same load reports,
//! which are a round old. Streams last 1.3 to 1.9 s.

#[path = "allowance/load.rs"]
mod load;

use std::time::Duration;

use cactusnotch_overload::allowance::{Allowance, ROUND};
use cactusnotch_overload::{Ceiling, Class, Occupancy, Reach};
use load::{Distort, Entry, LIMIT, Load, RESERVE, SLOTS, number};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Numbers of entries.
const ENTRIES: [usize; 4] = [13, 33, 149, 432];

/// Returns the rate per entry and step of `ratio` times the requests that the limit serves.
fn rate(ratio: f64, entries: usize) -> f64 {
    let served = LIMIT * f64::from(SLOTS) / 64.5;
    ratio * served / f64::from(number(entries))
}

/// Returns whether a fill is near the limit: at most a quarter above it. A pass takes 0.8 of
/// the longest gap at the limit, and at most the whole gap at a quarter above it.
fn is_near(fill: f64) -> bool {
    fill <= 1.25 * LIMIT
}

/// Guards against entries that each take all of the free capacity that all of them see, from
/// idle and from steady load.
#[test]
fn a_burst_at_all_entries_stays_near_the_limit() {
    for entries in ENTRIES {
        for before in [0.0, 0.3, 0.6, 1.5] {
            let mut load = Load::new(entries);
            load.rounds(24, rate(before, entries));
            let (most, _) = load.rounds(16, rate(3.0, entries));
            assert!(is_near(most), "{entries} entries after {before}: {most}");
        }
    }
}

/// Guards against free capacity that no entry takes, with less than one request a second from
/// each of 432 entries.
#[test]
fn free_capacity_is_used_within_two_seconds() {
    for entries in ENTRIES {
        let mut load = Load::new(entries);
        load.rounds(8, rate(1.5, entries));
        let (most, mean) = load.rounds(24, rate(1.5, entries));
        assert!(mean >= 0.8 * LIMIT, "{entries} entries: {mean}");
        assert!(is_near(most), "{entries} entries: {most}");
    }
}

/// Guards against requests that find no room although the group is far below its limit.
#[test]
fn a_load_below_the_limit_is_served() {
    for entries in ENTRIES {
        let mut load = Load::new(entries);
        load.rounds(16, rate(0.6, entries));
        let before = load.started(|_| true);
        load.rounds(80, rate(0.6, entries));
        let served = load.started(|_| true) - before;
        let offered = 800.0 * rate(0.6, entries) * f64::from(number(entries));
        let part = f64::from(number(served)) / offered;
        assert!(part > 0.9, "{entries} entries: {part}");
    }
}

/// Guards against an equal division that leaves most of the capacity unused when the requests
/// come from a third of the entries, and against entries that keep all of the capacity when
/// the requests then come from others.
#[test]
fn capacity_follows_a_demand_that_moves_between_data_centres() {
    for entries in ENTRIES {
        let mut load = Load::new(entries);
        let from = |part: usize| {
            move |at: usize| {
                if at % 3 == part {
                    3.0 * rate(1.5, entries)
                } else {
                    0.0
                }
            }
        };
        for _ in 0..6 {
            load.round(Class::default(), from(0));
        }
        let fill = load.fill();
        assert!(fill >= 0.8 * LIMIT, "{entries} entries from idle: {fill}");
        for _ in 0..6 {
            load.round(Class::default(), from(0));
        }
        let mut most = 0.0_f64;
        for part in [1, 2] {
            for _ in 0..12 {
                most = most.max(load.round(Class::default(), from(part)).0);
            }
            let fill = load.fill();
            assert!(fill >= 0.8 * LIMIT, "{entries} entries: {fill}");
        }
        assert!(is_near(most), "{entries} entries: {most}");
    }
}

/// Guards against entries that hold the whole limit for good while others wait.
#[test]
fn entries_that_come_late_get_their_part() {
    for entries in ENTRIES {
        let mut load = Load::new(entries);
        let late = |at: usize| at.is_multiple_of(2);
        let heavy = rate(6.0, entries);
        for _ in 0..16 {
            load.round(Class::default(), |at| if late(at) { 0.0 } else { heavy });
        }
        let mut most = 0.0_f64;
        for _ in 0..16 {
            most = most.max(load.round(Class::default(), |_| heavy).0);
        }
        let own = |at: usize| load.entries[at].own();
        let held: u32 = (0..entries).filter(|&at| late(at)).map(own).sum();
        let part = f64::from(held) / f64::from(SLOTS) / LIMIT;
        assert!(part >= 0.15, "{entries} entries: {part}");
        assert!(is_near(most), "{entries} entries: {most}");
    }
}

/// Guards against entries that fill a group again and again while reports show no requests,
/// and against a standstill while they show too many.
#[test]
fn wrong_reports_for_a_second_have_a_bounded_effect() {
    let cases: [(Distort, _); 2] = [(|_| 0, 0.7..=1.25), (|requests| 2 * requests, 0.3..=1.25)];
    for entries in ENTRIES {
        for (distort, bounds) in &cases {
            let mut load = Load::new(entries);
            load.rounds(24, rate(3.0, entries));
            load.distort = *distort;
            let (most, _) = load.rounds(4, rate(3.0, entries));
            let least = load.fill();
            let held = bounds.contains(&(most / LIMIT)) && bounds.contains(&(least / LIMIT));
            assert!(held, "{entries} entries: {most} {least}");
            load.distort = |requests| requests;
            load.rounds(8, rate(3.0, entries));
            let fill = load.fill() / LIMIT;
            assert!((0.8..=1.2).contains(&fill), "{entries} entries: {fill}");
        }
    }
}

/// Guards against capacity that stays unused since a true decrease is taken for a wrong one:
/// two thirds of the entries end with all of their streams.
#[test]
fn the_capacity_of_ended_entries_is_used_within_three_seconds() {
    for entries in ENTRIES {
        let mut load = Load::new(entries);
        load.rounds(24, rate(3.0, entries));
        let ended = |at: usize| !at.is_multiple_of(3);
        for entry in (0..entries).filter(|&at| ended(at)) {
            load.entries[entry] = Entry::default();
        }
        let mut most = 0.0_f64;
        for _ in 0..12 {
            let rate = |at: usize| {
                if ended(at) {
                    0.0
                } else {
                    3.0 * rate(3.0, entries)
                }
            };
            most = most.max(load.round(Class::default(), rate).0);
        }
        let fill = load.fill();
        assert!(fill >= 0.8 * LIMIT, "{entries} entries: {fill}");
        assert!(is_near(most), "{entries} entries: {most}");
    }
}

/// Guards against entries that replace ended requests above a limit that has fallen.
#[test]
fn a_limit_that_falls_by_a_third_is_kept_after_two_thirds_of_a_stream() {
    for entries in ENTRIES {
        let mut load = Load::new(entries);
        load.rounds(24, rate(3.0, entries));
        load.limit = LIMIT * 2.0 / 3.0;
        load.rounds(4, rate(3.0, entries));
        let (most, _) = load.rounds(16, rate(3.0, entries));
        assert!(most <= 1.2 * load.limit, "{entries} entries: {most}");
    }
}

/// Guards against requests of a less urgent class that take what is left for a more urgent
/// one. The bound is wider than for the whole limit, since shares are smaller and chance has
/// a greater part.
#[test]
fn each_class_stays_near_its_part_of_the_limit() {
    for entries in ENTRIES {
        for number in [1, 2, 3] {
            let class = Class::numbered(number);
            let mut load = Load::new(entries);
            let mut most = 0.0_f64;
            for _ in 0..32 {
                most = most.max(load.round(class, |_| rate(3.0, entries)).0);
            }
            let part = class.ceiling(Ceiling::new(LIMIT), RESERVE).per_slot();
            assert!(most <= 1.3 * part, "{entries} entries, {class:?}: {most}");
        }
    }
}

/// Guards against an entry without others that exceeds the limit or leaves a part of it.
#[test]
fn an_entry_that_knows_no_other_fills_the_group_to_the_limit() {
    let mut load = Load::new(1);
    load.rounds(4, rate(3.0, 1));
    let (most, mean) = load.rounds(24, rate(3.0, 1));
    assert!(most <= LIMIT + 1.0 / f64::from(SLOTS), "{most}");
    assert!(mean >= 0.98 * LIMIT, "{mean}");
}

/// Guards against requests that start at a group whose limit is zero or whose slots are
/// unknown.
#[test]
fn nothing_starts_without_capacity() {
    let mut rng = StdRng::seed_from_u64(7);
    for (limit, slots, own) in [(0.0, SLOTS, 0), (0.0, SLOTS, 5), (1.0, 0, 0)] {
        let mut allowance = Allowance::default();
        let occupancy = Occupancy {
            own,
            others: 0,
            slots,
            sharers: 13,
            age: Duration::ZERO,
        };
        for _ in 0..8 {
            allowance.renew(&occupancy, Ceiling::new(limit), RESERVE, &mut rng);
            let room = allowance.room(Reach::Class(Class::default()), own);
            assert_eq!(room, 0, "limit {limit}, {slots} slots, {own} own");
        }
    }
}

/// Guards against an entry without load reports that starts nothing or takes the whole group.
#[test]
fn an_entry_without_reports_gets_its_share() {
    let mut rng = StdRng::seed_from_u64(7);
    for entries in ENTRIES {
        let sharers = number(entries);
        let mut sum = 0;
        for _ in 0..entries {
            let mut allowance = Allowance::default();
            allowance.renew_unreported(SLOTS, sharers, Ceiling::new(LIMIT), RESERVE, &mut rng);
            sum += allowance.room(Reach::Class(Class::default()), 0);
        }
        let fill = f64::from(sum) / f64::from(SLOTS) / LIMIT;
        assert!((0.9..=1.1).contains(&fill), "{entries} entries: {fill}");
    }
}

/// Guards against a class that may start a request while a more urgent one may not, which
/// rounding by a chance of its own for each class allows.
#[test]
fn no_class_has_less_room_than_a_less_urgent_one() {
    let mut rng = StdRng::seed_from_u64(5);
    let mut allowance = Allowance::default();
    let classes = [0, 1, 2, 3].map(|number| Reach::Class(Class::numbered(number)));
    let [first, second, third, fourth] = classes;
    let order = [Reach::Slots, Reach::Limit, first, second, third, fourth];
    for round in 0..2_000 {
        let others = rng.random_range(0..80);
        let occupancy = Occupancy {
            own: rng.random_range(0..3),
            others,
            slots: 100,
            sharers: 33,
            age: ROUND,
        };
        let limit = Ceiling::new(rng.random_range(0.3..1.0));
        // Without a reserve all classes have the same part.
        let reserve = if round % 2 == 0 { 0.0 } else { RESERVE };
        if round % 3 == 0 {
            allowance.renew_unreported(100, 33, limit, reserve, &mut rng);
        } else {
            allowance.renew(&occupancy, limit, reserve, &mut rng);
        }
        let rooms = order.map(|reach| allowance.room(reach, occupancy.own));
        assert!(
            rooms.is_sorted_by(|a, b| a >= b),
            "{occupancy:?}: {rooms:?}"
        );
    }
}
