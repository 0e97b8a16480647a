//! Tests of fair queueing and early refusal through the public API.

use std::time::Duration;

use cactusnotch_admit::refusal::Reason;
use cactusnotch_admit::{
    Allowance, Command, Gate, Options, Priority, Refusal, Request, Ticket, Usage,
};
use cactusnotch_base::Outcome;
use cactusnotch_base::clock::{self, Instant};
use cactusnotch_base::name::Organisation;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// A gate with a clock and a random source.
struct Bench {
    gate: Gate,
    now: Instant,
    rng: StdRng,
    commands: Vec<Command>,
}

impl Bench {
    fn new(options: Options) -> Self {
        Self {
            gate: Gate::new(options),
            now: clock::now(),
            rng: StdRng::seed_from_u64(4),
            commands: Vec::new(),
        }
    }

    fn enqueue(
        &mut self,
        organisation: &Organisation,
        share: u32,
        priority: Priority,
        left: Duration,
    ) -> Result<Ticket, Refusal> {
        let request = Request {
            organisation,
            share,
            priority,
            cost: 1.0,
            deadline: self.now + left,
            run: Duration::from_millis(100),
        };
        let (commands, rng) = (&mut self.commands, &mut self.rng);
        self.gate.enqueue(&request, 0, commands, self.now, rng)
    }

    fn poll(&mut self, free_slots: u32) -> Vec<Command> {
        self.poll_with(free_slots, |_| true)
    }

    fn poll_with(
        &mut self,
        free_slots: u32,
        may: impl FnMut(&Organisation) -> bool,
    ) -> Vec<Command> {
        let (commands, rng) = (&mut self.commands, &mut self.rng);
        self.gate.poll(free_slots, commands, self.now, rng, may);
        std::mem::take(commands)
    }
}

const MINUTE: Duration = Duration::from_mins(1);

#[test]
fn a_request_that_would_be_late_is_refused_at_arrival() {
    let mut bench = Bench::new(Options::default());
    let a = Organisation::new("a");
    for _ in 0..40 {
        let left = MINUTE;
        bench
            .enqueue(&a, 1, Priority::Normal, left)
            .expect("the deadline allows it");
    }
    let second = Duration::from_secs(1);
    let refusal = bench
        .enqueue(&a, 1, Priority::Normal, second)
        .expect_err("40 are waiting at 20 starts per second");
    assert!(
        matches!(refusal.reason, Reason::Late { late } if late > second),
        "{refusal}"
    );
    assert_eq!(refusal.outcome(), Outcome::NotRun);
    assert!(
        (second..second * 4).contains(&refusal.retry_after),
        "{refusal}"
    );
    assert!(bench.enqueue(&a, 1, Priority::Normal, second * 3).is_ok());
}

#[test]
fn a_waiting_request_is_refused_once_it_would_be_late() {
    let mut bench = Bench::new(Options::default());
    let a = Organisation::new("a");
    let left = Duration::from_secs(20);
    let tickets: Vec<Ticket> = (0..60)
        .map(|_| {
            bench
                .enqueue(&a, 1, Priority::Normal, left)
                .expect("the deadline allows it")
        })
        .collect();
    let most = bench.now + left * 3 / 4;
    let mut refused = Vec::new();
    while refused.len() < tickets.len() {
        bench.now += Duration::from_millis(100);
        assert!(bench.now < most, "too late: only {} refused", refused.len());
        for command in bench.poll(0) {
            let Command::Refuse(ticket, refusal) = command else {
                panic!("there was no free slot");
            };
            assert_eq!(refusal.outcome(), Outcome::NotRun);
            refused.push(ticket);
        }
    }
    refused.sort_unstable();
    assert_eq!(refused, tickets);
    assert!(bench.gate.is_empty() && bench.poll(99).is_empty());
}

/// Counts the starts of each flow over `rounds` with one slot per round, while
/// every flow keeps its lane full.
fn starts(bench: &mut Bench, flows: &[(Organisation, u32, Priority)], rounds: usize) -> Vec<usize> {
    let mut owners: Vec<(Ticket, usize)> = Vec::new();
    let mut counts = vec![0; flows.len()];
    for _ in 0..rounds {
        for (at, (organisation, share, priority)) in flows.iter().enumerate() {
            while let Ok(ticket) = bench.enqueue(organisation, *share, *priority, MINUTE * 30) {
                owners.push((ticket, at));
            }
        }
        bench.now += Duration::from_millis(50);
        for command in bench.poll(1) {
            if let Command::Start(ticket) = command {
                let at = owners.iter().position(|(other, _)| *other == ticket);
                counts[owners.swap_remove(at.expect("known")).1] += 1;
            }
        }
    }
    counts
}

#[test]
fn shares_hold_and_low_priority_does_not_starve() {
    let (a, b) = (Organisation::new("a"), Organisation::new("b"));
    let options = || Options {
        lane_max: 8,
        ..Options::default()
    };
    let flows = [(a.clone(), 3, Priority::High), (b, 1, Priority::Low)];
    let counts = starts(&mut Bench::new(options()), &flows, 400);
    assert!(
        (295..=305).contains(&counts[0]),
        "3 : 1 regardless of priority: {counts:?}"
    );
    assert_eq!(counts[0] + counts[1], 400);
    let ranks = [(a.clone(), 1, Priority::High), (a, 1, Priority::Low)];
    let counts = starts(&mut Bench::new(options()), &ranks, 340);
    assert!(
        (18..=22).contains(&counts[1]),
        "16 : 1 within one organisation: {counts:?}"
    );
}

#[test]
fn a_full_queue_yields_to_those_below_their_share() {
    let mut bench = Bench::new(Options {
        queue_max: 10,
        ..Options::default()
    });
    let (a, b) = (Organisation::new("a"), Organisation::new("b"));
    let own: Vec<Ticket> = (0..10)
        .map(|_| {
            bench
                .enqueue(&a, 1, Priority::High, MINUTE)
                .expect("the queue has space")
        })
        .collect();
    let refusal = bench
        .enqueue(&a, 1, Priority::High, MINUTE)
        .expect_err("the queue is full");
    assert_eq!(refusal.reason, Reason::OverShare);
    bench
        .enqueue(&b, 1, Priority::Low, MINUTE)
        .expect("a request of a is evicted");
    let [Command::Refuse(ticket, refusal)] = bench.commands[..] else {
        panic!("{:?}", bench.commands);
    };
    assert_eq!((ticket, refusal.reason), (own[9], Reason::OverShare));
    assert_eq!(bench.gate.len(), 10);
    assert!(bench.gate.cancel(&a, own[0]) && !bench.gate.cancel(&a, own[0]));
    bench.gate.stop();
    let refusal = bench
        .enqueue(&b, 1, Priority::Low, MINUTE)
        .expect_err("stopping");
    assert_eq!(refusal.reason, Reason::Stopping);
}

#[test]
fn limits_hold_one_organisation_back_and_not_the_others() {
    let mut bench = Bench::new(Options::default());
    let (a, b) = (Organisation::new("a"), Organisation::new("b"));
    for organisation in [&a, &a, &a, &b, &b, &b] {
        bench
            .enqueue(organisation, 1, Priority::Normal, MINUTE)
            .expect("the deadline allows it");
    }
    let mut usage = Usage::default();
    let start = bench.now;
    let two = Allowance {
        concurrency: Some(2),
        rate: None,
    };
    let started = bench.poll_with(9, |name| usage.try_start(name, two, start));
    assert_eq!(started.len(), 4, "b starts although a is at its limit");
    assert_eq!((usage.running(&a), usage.running(&b)), (2, 2));
    usage.finish(&b);
    let started = bench.poll_with(9, |name| usage.try_start(name, two, start));
    assert_eq!(started.len(), 1, "a, which is next, is skipped");
    let five = Allowance {
        concurrency: None,
        rate: Some(5),
    };
    let later = start + Duration::from_secs(2);
    usage.try_start(&b, five, start);
    let starts = (0..20).filter(|_| usage.try_start(&b, five, later)).count();
    assert_eq!(starts, 5, "a burst is limited to one second's starts");
    assert_eq!(usage.rate(&b, later), 6);
    assert_eq!(usage.rate(&b, later + MINUTE), 1, "old starts decay");
}
