//! Late requests under named loads: those that wait on, and their last try.

use std::time::Duration;

use cactusnotch_base::clock::{self, Instant};
use cactusnotch_overload::allowance::{Allowance, ROUND};
use cactusnotch_overload::queue::Entrant;
use cactusnotch_overload::{Cause, Ceiling, Class, Kind, Occupancy, Queue, Reach, Ticket};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const SLOTS: u32 = 100;
const LIMIT: f64 = 0.6;
const RESERVE: f64 = 0.12;
/// The part of the slots that last tries may fill: the limit and half of the rest.
const SLOTS_REACH: f64 = 0.8;
const TICK: Duration = Duration::from_millis(5);
const RUN: Duration = Duration::from_secs(1);
/// How long first attempts wait to be on time, and late requests after their arrival.
const FIRST: Duration = Duration::from_millis(200);
const LATE: Duration = Duration::from_millis(1_200);
/// The shortest and the longest time after which refused callers return.
const RETURN_MS: std::ops::Range<u64> = 1_680..2_240;

#[derive(Clone, Copy)]
struct Caller {
    kind: Kind,
    arrived: Instant,
}

/// What became of the requests of callers.
#[derive(Debug, Default, PartialEq)]
struct Outcome {
    on_time: u32,
    /// Late ones that were never refused, and those that were refused once.
    late_once: u32,
    late_twice: u32,
    lost: u32,
}

/// An entry that is alone at a group, and its callers.
struct Entry {
    queue: Queue,
    running: Vec<Instant>,
    waiting: Vec<(Ticket, Caller)>,
    /// The refused callers, and when they return.
    away: Vec<Instant>,
    rng: StdRng,
    outcome: Outcome,
}

impl Entry {
    fn is_free(&self, reach: Reach) -> bool {
        let running = u32::try_from(self.running.len()).unwrap();
        let ceiling = reach.ceiling(Ceiling::new(LIMIT), RESERVE);
        f64::from(running) < ceiling.per_slot() * f64::from(SLOTS)
    }

    fn start(&mut self, kind: Kind, now: Instant) {
        self.queue.record_start();
        self.running
            .push(now + RUN.mul_f64(self.rng.random_range(0.5..1.5)));
        match kind {
            Kind::First => self.outcome.on_time += 1,
            Kind::Overdue => self.outcome.late_once += 1,
            Kind::Returned | Kind::Moved => self.outcome.late_twice += 1,
        }
    }

    fn push(&mut self, caller: Caller, now: Instant) {
        let wait = if caller.kind == Kind::First {
            FIRST
        } else {
            LATE
        };
        let entrant = Entrant {
            class: Class::numbered(1),
            kind: caller.kind,
            latest_start: caller.arrived + wait,
        };
        match self.queue.push(&entrant, now) {
            Ok(place) => {
                self.waiting.push((place.ticket, caller));
                if let Some(displaced) = place.displaced {
                    let caller = self.take(&displaced);
                    self.miss(caller, Cause::Full, now);
                }
            }
            Err(rejection) => self.miss(caller, rejection.cause, now),
        }
    }

    /// Has a request that can't be on time wait on, and others try for the last time or leave.
    fn miss(&mut self, caller: Caller, cause: Cause, now: Instant) {
        let reach = match caller.kind {
            Kind::First if cause == Cause::Full => return self.leave(now),
            Kind::First => {
                let kind = Kind::Overdue;
                return self.push(Caller { kind, ..caller }, now);
            }
            Kind::Overdue => Reach::Limit,
            Kind::Returned | Kind::Moved => Reach::Slots,
        };
        if self.is_free(reach) {
            self.start(caller.kind, now);
        } else if caller.kind == Kind::Overdue {
            self.leave(now);
        } else {
            self.outcome.lost += 1;
        }
    }

    fn leave(&mut self, now: Instant) {
        let pause = Duration::from_millis(self.rng.random_range(RETURN_MS));
        self.away.push(now + pause);
    }

    fn tick(&mut self, now: Instant) {
        let ended = self.running.extract_if(.., |end| *end <= now).count();
        (0..ended).for_each(|_| self.queue.record_end(Some(RUN), now));
        for ticket in self.queue.expire(now) {
            let caller = self.take(&ticket);
            self.miss(caller, Cause::Expired, now);
        }
        while let Some(head) = self.queue.head().copied()
            && self.is_free(Reach::Class(head.class()))
        {
            self.queue.remove(&head);
            let kind = self.take(&head).kind;
            self.start(kind, now);
        }
        for arrived in self
            .away
            .extract_if(.., |at| *at <= now)
            .collect::<Vec<_>>()
        {
            let kind = Kind::Returned;
            self.push(Caller { kind, arrived }, now);
        }
    }

    fn take(&mut self, ticket: &Ticket) -> Caller {
        let at = self.waiting.iter().position(|(known, _)| known == ticket);
        self.waiting.swap_remove(at.unwrap()).1
    }
}

/// Guards against late requests that are refused although there is capacity for them soon, and
/// against callers that are lost after a burst: 80 requests a second for 3 s, for a class that
/// is given 48.
#[test]
fn a_burst_beyond_the_limit_is_served_and_most_late_requests_are_never_refused() {
    let began = clock::now();
    let mut entry = Entry {
        queue: Queue::new(began),
        running: Vec::new(),
        waiting: Vec::new(),
        away: Vec::new(),
        rng: StdRng::seed_from_u64(7),
        outcome: Outcome::default(),
    };
    let mut sent = 0;
    for tick in 1..2_000 {
        let now = began + TICK * tick;
        entry.tick(now);
        let due = (tick * 5).min(3_000) * 80 / 1_000;
        for _ in sent..due {
            let kind = Kind::First;
            entry.push(Caller { kind, arrived: now }, now);
        }
        sent = due;
    }
    let outcome = &entry.outcome;
    let served = outcome.on_time + outcome.late_once + outcome.late_twice;
    assert_eq!((served, outcome.lost), (sent, 0), "{outcome:?}");
    assert!(outcome.late_once > 2 * outcome.late_twice, "{outcome:?}");
    assert!(outcome.on_time > 0, "{outcome:?}");
}

/// Steps in a round, and in the shortest and longest stream.
const STEPS: usize = 10;
const STREAM: std::ops::Range<usize> = 52..77;
const GROUP_SLOTS: u32 = 72 * 12;

/// Returns the most requests per slot that run while all of these entries have first attempts
/// and last tries without end.
fn most(entries: usize) -> f64 {
    let mut rng = StdRng::seed_from_u64(7);
    let mut rows = vec![(Allowance::default(), Vec::<usize>::new()); entries];
    let own = |running: &Vec<usize>| u32::try_from(running.len()).unwrap();
    let mut reported = vec![0; entries];
    let mut most = 0;
    for _ in 0..60 {
        let total: u32 = reported.iter().sum();
        for ((allowance, running), reported) in rows.iter_mut().zip(&reported) {
            let occupancy = Occupancy {
                own: own(running),
                others: total - reported,
                slots: GROUP_SLOTS,
                sharers: u32::try_from(entries).unwrap(),
                age: ROUND,
            };
            allowance.renew(&occupancy, Ceiling::new(LIMIT), RESERVE, &mut rng);
        }
        reported = rows.iter().map(|(_, running)| own(running)).collect();
        for _ in 0..STEPS {
            for (allowance, running) in &mut rows {
                for left in running.iter_mut() {
                    *left -= 1;
                }
                running.retain(|left| *left > 0);
                for reach in [Reach::Class(Class::default()), Reach::Limit, Reach::Slots] {
                    while allowance.room(reach, own(running)) > 0 {
                        running.push(rng.random_range(STREAM));
                        allowance.record_start();
                    }
                }
                allowance.record_shortage();
            }
            most = most.max(rows.iter().map(|(_, running)| own(running)).sum());
        }
    }
    f64::from(most) / f64::from(GROUP_SLOTS)
}

/// Guards against last tries that together fill more of a group than the stated part, since each
/// entry takes the free slots that all of them see, and against a part that stays unused.
#[test]
fn last_tries_at_all_entries_stay_within_their_part_of_the_slots() {
    for entries in [13, 33] {
        let most = most(entries);
        assert!(most <= SLOTS_REACH, "{entries} entries: {most}");
        assert!(most > 0.9 * SLOTS_REACH, "{entries} entries: {most}");
    }
}
