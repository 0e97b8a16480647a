//! The decision how long a connection may wait for its peer, by figures of the kernel.

use std::time::Duration;

use cactusnotch_base::clock::{self, Instant};
use cactusnotch_tcp::{CHECK_INTERVAL, Figures, Liveness};

const WRITTEN: u64 = 5_000;

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// The kernel as it is known from tcp(7): it sends again after 0.2, 0.6, 1.4 s and so on, at the
/// end of the time-out at the latest, and closes the connection there.
struct Kernel {
    began: Instant,
    /// When it sent the data last, and how often again.
    sent: Duration,
    retries: u8,
    next: Duration,
    timeout: Duration,
}

impl Kernel {
    fn new(began: Instant) -> Self {
        Self {
            began,
            sent: Duration::ZERO,
            retries: 0,
            next: millis(200),
            timeout: Duration::from_secs(1),
        }
    }

    /// Plays up to `now`; returns when the connection was closed, if it was.
    fn play(&mut self, now: Duration) -> Option<Duration> {
        let first = millis(200);
        while self.next <= now {
            if self.retries > 0 && self.next.saturating_sub(first) >= self.timeout {
                return Some(self.next);
            }
            self.sent = self.next;
            self.retries = self.retries.saturating_add(1);
            // The longest interval is 120 s.
            let backoff = millis(200 << self.retries.min(9));
            self.next += backoff.min((first + self.timeout).saturating_sub(self.next));
            self.next = self.next.max(self.sent + millis(2));
        }
        None
    }
}

/// What the peer of a connection without room does.
#[derive(Clone, Copy)]
enum Window {
    Closed,
    /// Data is in flight and was dropped by the peer, who acknowledges what it has.
    Full,
}

/// Returns when the kernel closes a connection whose peer answers until `silent_from`.
fn closed_at(window: Window, silent_from: Duration, until: Duration) -> Option<Duration> {
    let began = clock::now();
    let (mut kernel, mut liveness) = (Kernel::new(began), Liveness::new());
    let mut now = Duration::ZERO;
    while now < until {
        now += CHECK_INTERVAL;
        if let Some(closed) = kernel.play(now) {
            return Some(closed);
        }
        let answered = kernel.sent < silent_from;
        let acknowledged = if answered {
            kernel.sent
        } else {
            silent_from.min(kernel.sent.saturating_sub(millis(100)))
        };
        let is_closed = matches!(window, Window::Closed);
        let figures = Figures {
            is_closed: false,
            in_flight: u32::from(!is_closed),
            unsent: 3_000,
            acknowledged: 2_000,
            retries: kernel.retries,
            unanswered_probes: u8::from(is_closed && !answered),
            since_sent: now.saturating_sub(kernel.sent),
            since_acknowledgement: now.saturating_sub(acknowledged),
            window_limited: if is_closed { now } else { Duration::ZERO },
        };
        kernel.timeout = liveness.timeout(&figures, WRITTEN, kernel.began + now);
    }
    None
}

/// Guards against responses that are cut off since their reader pauses for over a second.
#[test]
fn a_peer_that_answers_is_kept_however_long_it_has_no_room() {
    for window in [Window::Closed, Window::Full] {
        let closed = closed_at(window, Duration::MAX, Duration::from_mins(10));
        assert_eq!(closed, None);
    }
}

/// Guards against hosts that are gone and are noticed later than before: the time-out of a second
/// begins with the first retransmission.
#[test]
fn a_peer_that_never_answers_is_gone_after_the_first_time_out() {
    for window in [Window::Closed, Window::Full] {
        let closed = closed_at(window, Duration::ZERO, Duration::from_mins(1));
        assert!(
            closed.is_some_and(|closed| closed <= millis(1_250)),
            "{closed:?}"
        );
    }
}

/// Guards against hosts that are gone and hold a slot or a stop since they had no room before.
#[test]
fn a_peer_that_falls_silent_without_room_is_noticed_within_two_extensions() {
    for window in [Window::Closed, Window::Full] {
        for silent_from in (300..8_000).step_by(70).map(millis) {
            let closed = closed_at(window, silent_from, Duration::from_mins(1));
            let closed = closed.expect("it is noticed");
            let extensions = millis(4_000) + CHECK_INTERVAL;
            assert!(
                closed <= silent_from + extensions,
                "{silent_from:?}: {closed:?}"
            );
        }
    }
}

/// Guards against a time-out that is shortened while the kernel still counts from the first
/// retransmission: these are the figures of a reader of 10 KB a second, which was cut off.
#[test]
fn partial_progress_after_a_retransmission_does_not_shorten_the_time_out() {
    let began = clock::now();
    let mut liveness = Liveness::new();
    let full = Figures {
        in_flight: 1,
        acknowledged: 32_768,
        retries: 3,
        since_sent: millis(128),
        since_acknowledgement: millis(120),
        ..Figures::default()
    };
    liveness.timeout(&full, 64_000, began);
    let progress = Figures {
        acknowledged: 40_960,
        retries: 0,
        since_sent: millis(68),
        since_acknowledgement: millis(68),
        ..full
    };
    let timeout = liveness.timeout(&progress, 64_000, began + millis(2_800));
    assert_eq!(timeout, millis(4_800));
    let whole = Figures {
        in_flight: 0,
        acknowledged: 64_000,
        ..progress
    };
    let timeout = liveness.timeout(&whole, 64_000, began + millis(3_000));
    assert_eq!(timeout, Duration::from_secs(1));
}

/// Guards against readers that are cut off although they read all the time, since each window probe
/// is sent and answered between two checks: these are the figures of a reader of 7.6 KB a second.
#[test]
fn a_peer_that_is_probed_between_checks_is_kept() {
    let began = clock::now();
    let mut liveness = Liveness::new();
    let mut timeout = Duration::from_secs(1);
    for check in 1..40 {
        let elapsed = CHECK_INTERVAL * check;
        let figures = Figures {
            is_closed: false,
            in_flight: 0,
            unsent: 62_000 - 1_500 * check,
            acknowledged: 1_500 * u64::from(check),
            retries: 0,
            unanswered_probes: 0,
            since_sent: millis(170),
            since_acknowledgement: millis(130),
            window_limited: elapsed * 9 / 10,
        };
        // The kernel counts from the first probe on, which it sent after 0.28 s.
        let counted = elapsed.saturating_sub(millis(280));
        assert!(timeout > counted, "{elapsed:?}: closed after {timeout:?}");
        timeout = liveness.timeout(&figures, 64_000, began + elapsed);
    }
}

/// Guards against hosts that are gone and are noticed later, since they had no room for moments
/// while they read fast.
#[test]
fn moments_without_room_do_not_extend_the_time_out() {
    let began = clock::now();
    let mut liveness = Liveness::new();
    for check in 1..100 {
        let written = 100_000 * u64::from(check);
        let figures = Figures {
            acknowledged: written - 1_000,
            in_flight: 1,
            since_sent: millis(1),
            since_acknowledgement: millis(1),
            window_limited: millis(20) * check,
            ..Figures::default()
        };
        let timeout = liveness.timeout(&figures, written, began + CHECK_INTERVAL * check);
        assert_eq!(timeout, Duration::from_secs(1));
    }
}

/// Guards against readers whose acknowledgements are delayed and that count as silent, since each
/// check comes between a segment and its acknowledgement.
#[test]
fn a_peer_that_acknowledges_late_counts_as_living() {
    let began = clock::now();
    let mut liveness = Liveness::new();
    let mut acknowledged = 10_000;
    let mut timeout = Duration::ZERO;
    for check in 0..20 {
        let elapsed = CHECK_INTERVAL * check;
        acknowledged += 1_000;
        let figures = Figures {
            in_flight: 1,
            unsent: 30_000,
            acknowledged,
            retries: 1,
            unanswered_probes: 0,
            since_sent: millis(20),
            since_acknowledgement: millis(120),
            ..Figures::default()
        };
        timeout = liveness.timeout(&figures, 64_000, began + elapsed);
        assert!(timeout > elapsed, "{elapsed:?}: {timeout:?}");
    }
    assert!(timeout > CHECK_INTERVAL * 20);
}

/// Guards against figures of a platform that leaves them empty, which would count as delivered.
#[test]
fn figures_that_were_not_filled_in_are_none() {
    assert_eq!(Figures::parse(&[0; 184]), None);
    assert_eq!(Figures::parse(&[1; 183]), None);
}
