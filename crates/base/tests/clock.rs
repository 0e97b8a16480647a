//! The clock counts the time for which the host is suspended.

use std::time::Duration;

use cactusnotch_base::clock::{self, Clock, Suspension, System};

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn suspension_advances_ages_and_wall_clock() {
    let suspension = Suspension::default();
    suspension.install();
    let (before, day_before) = (System.now(), System.wall());
    suspension.extend(8 * SECOND);
    assert!(before.elapsed() >= 8 * SECOND);
    assert!(System.wall() >= day_before + 8 * SECOND);
    assert_eq!((before + 8 * SECOND).remaining(), Duration::ZERO);
}

#[test]
fn a_thread_whose_host_is_not_suspended_goes_on() {
    let suspension = Suspension::default();
    suspension.extend(1_000_000 * SECOND);
    let before = clock::now();
    std::thread::scope(|scope| {
        let other = scope.spawn(|| {
            suspension.install();
            clock::now()
        });
        let suspended = other.join().expect("it reads the clock");
        assert!(suspended.saturating_duration_since(before) >= 1_000_000 * SECOND);
    });
    assert!(before.elapsed() < 1_000_000 * SECOND);
}

#[test]
fn instants_before_host_start_are_representable() {
    let now = clock::now();
    let earlier = now.checked_sub(Duration::from_hours(24));
    assert!(earlier.is_some_and(|earlier| now - earlier == Duration::from_hours(24)));
    assert_eq!(now.saturating_duration_since(now + SECOND), Duration::ZERO);
    assert_eq!(now.checked_duration_since(now + SECOND), None);
}
