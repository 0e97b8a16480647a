//! The waiting queue under named loads.

use std::time::Duration;

use cactusnotch_base::clock::{self, Instant};
use cactusnotch_overload::queue::{Entrant, LENGTH_MAX};
use cactusnotch_overload::{Cause, Ceiling, Class, Kind, Options, Queue, Ticket};

/// What a group runs at once for the entry.
const SLOTS: u32 = 100;
/// How long a request runs in the mean; it differs by up to half of this.
const RUN: Duration = Duration::from_secs(1);
/// How long first attempts and retries may wait.
const FIRST: Duration = Duration::from_millis(200);
const RETURNED: Duration = Duration::from_secs(1);
const TICK: Duration = Duration::from_millis(5);

fn class(number: u8) -> Class {
    Class::of(number, &[0, 1, 2, 3])
}

fn entrant(number: u8, kind: Kind, latest_start: Instant) -> Entrant {
    Entrant {
        class: class(number),
        kind,
        latest_start,
    }
}

/// Requests of one kind that arrive at an even rate from `from` to `to`.
#[derive(Clone, Copy)]
struct Flow {
    class: u8,
    kind: Kind,
    wait: Duration,
    per_second: u32,
    from: Duration,
    to: Duration,
}

impl Flow {
    const fn steady(class: u8, per_second: u32) -> Self {
        Self {
            class,
            kind: Kind::First,
            wait: FIRST,
            per_second,
            from: Duration::ZERO,
            to: Duration::from_secs(20),
        }
    }

    const fn burst(class: u8, per_second: u32) -> Self {
        Self {
            from: Duration::from_secs(5),
            to: Duration::from_secs(15),
            ..Self::steady(class, per_second)
        }
    }

    /// Returns how many of its requests have arrived `passed` after the start.
    fn arrived(&self, passed: Duration) -> u32 {
        let time = passed.min(self.to).saturating_sub(self.from).as_millis();
        u32::try_from(time).unwrap() * self.per_second / 1_000
    }
}

/// An entry that fills its slots as the gateway does: directly if nothing as urgent waits, and
/// the head of the queue when a request ends.
struct Entry {
    queue: Queue,
    running: Vec<Instant>,
    waiting: Vec<(Ticket, usize)>,
    /// The number of started requests of each flow.
    started: Vec<u32>,
}

impl Entry {
    fn is_free(&self, class: Class) -> bool {
        let ceiling = class.ceiling(Ceiling::FULL, Options::CLASS_RESERVE);
        let running = u32::try_from(self.running.len()).unwrap();
        f64::from(running) < ceiling.per_slot() * f64::from(SLOTS)
    }

    fn start(&mut self, flow: usize, now: Instant) {
        self.queue.record_start();
        self.started[flow] += 1;
        let total: u32 = self.started.iter().sum();
        // Successive multiples of a number without common factors visit all parts of a second.
        self.running
            .push(now + RUN / 2 + RUN * (total * 37 % 100) / 100);
    }

    fn arrive(&mut self, number: usize, flow: &Flow, now: Instant) {
        let entrant = entrant(flow.class, flow.kind, now + flow.wait);
        if !self.queue.holds_back(entrant.class) && self.is_free(entrant.class) {
            self.start(number, now);
        } else if let Ok(place) = self.queue.push(&entrant, now) {
            self.waiting.push((place.ticket, number));
        }
    }

    fn tick(&mut self, now: Instant) {
        let ended = self.running.extract_if(.., |end| *end <= now).count();
        (0..ended).for_each(|_| self.queue.record_end(Some(RUN), now));
        self.queue.expire(now);
        while let Some(head) = self
            .queue
            .head()
            .copied()
            .filter(|h| self.is_free(h.class()))
        {
            let at = self.waiting.iter().position(|(ticket, _)| *ticket == head);
            let (_, flow) = self.waiting.swap_remove(at.unwrap());
            assert!(head.latest_start() > now && self.queue.remove(&head));
            self.start(flow, now);
        }
    }
}

/// Runs flows over 20 s; returns the fraction of each one's requests that started, and the
/// time after which none waited any more.
fn run(flows: &[Flow]) -> (Vec<f64>, Duration) {
    let began = clock::now();
    let mut entry = Entry {
        queue: Queue::new(began),
        running: Vec::new(),
        waiting: Vec::new(),
        started: vec![0; flows.len()],
    };
    let mut sent = vec![0; flows.len()];
    let (mut passed, mut last_wait) = (Duration::ZERO, Duration::ZERO);
    while passed < Duration::from_secs(20) {
        passed += TICK;
        let now = began + passed;
        entry.tick(now);
        for (number, flow) in flows.iter().enumerate() {
            let due = flow.arrived(passed) - sent[number];
            (0..due).for_each(|_| entry.arrive(number, flow, now));
            sent[number] += due;
        }
        if !entry.queue.is_empty() {
            last_wait = passed;
        }
    }
    let parts = entry.started.iter().zip(&sent);
    let parts = parts.map(|(&started, &sent)| f64::from(started) / f64::from(sent));
    (parts.collect(), last_wait)
}

/// Guards against requests of the least urgent class that start before more urgent ones.
#[test]
fn a_burst_of_the_least_urgent_class_takes_nothing_from_a_steady_most_urgent_one() {
    let (parts, _) = run(&[Flow::steady(0, 60), Flow::burst(3, 300)]);
    assert!(parts[0] > 0.99, "{parts:?}");
    assert!(parts[1] > 0.0, "{parts:?}");
}

/// Guards against a queue in which a burst of the most urgent class waits behind the rest.
#[test]
fn a_burst_of_the_most_urgent_class_goes_before_a_steady_least_urgent_one() {
    let (parts, _) = run(&[Flow::steady(3, 60), Flow::burst(0, 90)]);
    assert!(parts[1] > 0.98, "{parts:?}");
    assert!(parts[0] > 0.4, "before and after the burst: {parts:?}");
}

/// Guards against a queue that keeps requests after an overload has ended, and against one that
/// leaves slots free during it.
#[test]
fn twice_what_fits_for_ten_seconds_leaves_nothing_waiting_two_seconds_later() {
    let retries = Flow {
        kind: Kind::Returned,
        wait: RETURNED,
        ..Flow::burst(0, 100)
    };
    let (parts, last_wait) = run(&[Flow::burst(0, 100), retries]);
    assert!(
        last_wait <= retries.to + Duration::from_secs(2),
        "{last_wait:?}"
    );
    assert!(parts[0] > 0.95, "first attempts go first: {parts:?}");
    assert!(
        parts[0] + parts[1] > 0.97,
        "the slots are in use: {parts:?}"
    );
}

/// Guards against a wait that is predicted from the whole queue: an organisation's retries would
/// then keep all first attempts of its class away.
#[test]
fn an_organisation_that_floods_a_class_with_retries_leaves_others_their_part() {
    let flood = Flow {
        kind: Kind::Returned,
        wait: RETURNED,
        ..Flow::burst(1, 400)
    };
    let (parts, _) = run(&[flood, Flow::steady(1, 20), Flow::steady(0, 20)]);
    assert!(parts[1] > 0.95 && parts[2] > 0.95, "{parts:?}");
}

/// Guards against a wait predicted from few completions: most capacity is then freed by the
/// requests of other entries, and a request would be refused for the only one ahead.
#[test]
fn an_entry_of_432_with_less_than_a_request_a_second_lets_each_request_wait() {
    for number in 0..432 {
        let began = clock::now();
        let mut queue = Queue::new(began);
        let now = began + Duration::from_secs(5);
        if number % 2 == 0 {
            queue.record_start();
        }
        if number % 3 == 0 {
            queue.record_start();
            queue.record_end(Some(RUN), now);
        }
        for ahead in 0..3 {
            let place = queue.push(&entrant(0, Kind::First, now + FIRST), now);
            let place = place.expect("too little is known to refuse it");
            assert_eq!((place.ahead, place.predicted), (ahead, Duration::ZERO));
        }
    }
}

/// Guards against requests that are held although they can't start in time.
#[test]
fn a_request_with_too_many_ahead_for_the_measured_rate_is_refused_on_arrival() {
    let began = clock::now();
    let mut queue = Queue::new(began);
    let now = began + RUN;
    (0..20).for_each(|_| queue.record_end(Some(RUN), now));
    // Ten a second were measured, and 14 are plausible.
    let placed = (0..10).map(|_| queue.push(&entrant(1, Kind::First, now + FIRST), now));
    let placed: Vec<_> = placed.collect();
    assert!(placed[..3].iter().all(Result::is_ok), "{placed:?}");
    let rejection = placed[4].expect_err("four ahead need more than 0.2 s");
    assert_eq!((rejection.cause, rejection.ahead), (Cause::Hopeless, 3));
    let urgent = queue.push(&entrant(0, Kind::First, now + FIRST), now);
    let urgent = urgent.expect("none is ahead");
    assert!(
        urgent.ahead == 0 && urgent.displaced.is_some(),
        "three start in time"
    );
    assert_eq!(queue.len(), 3);
}

/// Guards against a queue without bounds, and against one that refuses an urgent request while
/// it holds others.
#[test]
fn a_full_queue_refuses_the_last_in_the_order() {
    let now = clock::now();
    let mut queue = Queue::new(now);
    let mut push = |number, after| queue.push(&entrant(number, Kind::First, now + after), now);
    let places: Vec<_> = (0..LENGTH_MAX).map(|_| push(2, FIRST)).collect();
    let last = places.last().unwrap().unwrap().ticket;
    let rejection = push(3, FIRST).expect_err("it is the last");
    assert_eq!(
        (rejection.cause, rejection.ahead),
        (Cause::Full, LENGTH_MAX)
    );
    let place = push(1, FIRST).expect("others are less urgent");
    assert_eq!((place.ahead, place.displaced), (0, Some(last)));
    assert_eq!(queue.len(), LENGTH_MAX);
}

/// Guards against a place that is kept for a caller that has left.
#[test]
fn a_caller_that_leaves_makes_room_for_those_behind_it() {
    let now = clock::now();
    let mut queue = Queue::new(now);
    let push = |queue: &mut Queue, kind| {
        let place = queue.push(&entrant(0, kind, now + FIRST), now);
        place.expect("nothing is known").ticket
    };
    let [first, second] = [Kind::First; 2].map(|kind| push(&mut queue, kind));
    let moved = push(&mut queue, Kind::Moved);
    assert_eq!(queue.head(), Some(&first));
    assert!(queue.remove(&first) && !queue.remove(&first));
    assert_eq!(queue.head(), Some(&second));
    assert!(queue.remove(&moved) && queue.remove(&second));
    assert!(queue.is_empty() && !queue.holds_back(class(3)));
}

/// Guards against requests that start after a suspension of the host although they are late, and
/// against waits predicted from what completed before it.
#[test]
fn a_clock_that_jumps_over_all_latest_starts_expires_all() {
    let began = clock::now();
    let mut queue = Queue::new(began);
    (0..40).for_each(|_| queue.record_end(Some(RUN), began));
    for kind in [Kind::First, Kind::Returned, Kind::Moved].repeat(2) {
        let pushed = queue.push(&entrant(0, kind, began + RETURNED), began);
        assert!(pushed.is_ok(), "{pushed:?}");
    }
    let now = began + Duration::from_mins(10);
    assert_eq!(queue.expire(now).len(), 6);
    assert!(queue.is_empty());
    let late = queue.push(&entrant(0, Kind::First, now), now);
    assert_eq!(late.expect_err("it is late").cause, Cause::Hopeless);
    for _ in 0..3 {
        let place = queue.push(&entrant(0, Kind::First, now + FIRST), now);
        assert_eq!(place.expect("nothing is known").predicted, Duration::ZERO);
    }
}
