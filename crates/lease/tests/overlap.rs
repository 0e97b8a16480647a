//! Guards of two holders never overlap, whichever messages are late or lost and
//! whichever processes are paused.

use std::time::Duration;

use cactusnotch_base::clock::{self, Instant};
use cactusnotch_base::name::Process;
use cactusnotch_lease::call::{Answer, Call, Found, Ticket};
use cactusnotch_lease::{Guard, Lease, Options};
use cactusnotch_objects::object::{Condition, Version};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const HOLDERS: usize = 3;
const MILLION: u64 = 1_000_000;

fn options() -> Options {
    Options::default()
}

/// The lease's object, with the calls and answers in flight.
#[derive(Default)]
struct Channel {
    version: u64,
    found: Option<Found>,
    history: Vec<Found>,
    calls: Vec<(u64, usize, Ticket, Call)>,
    answers: Vec<(u64, usize, Ticket, Answer)>,
}

impl Channel {
    fn run(&mut self, call: Call) -> Answer {
        let Call::Put { record, condition } = call else {
            return Answer::Read(self.found.clone());
        };
        let current = self.found.as_ref().map(|found| found.version);
        let holds = match condition {
            Condition::Absent => current.is_none(),
            Condition::Version(version) => current == Some(version),
            Condition::Always => true,
        };
        if !holds {
            return Answer::Conflict(self.found.clone());
        }
        self.version += 1;
        let version = Version(self.version);
        let found = Found { version, record };
        self.history.push(found.clone());
        self.found = Some(found);
        Answer::Written(version)
    }
}

struct Member {
    lease: Lease,
    rate: u64,
    paused_until: u64,
    waiting: Option<(u64, Ticket)>,
    kept_guard: Option<Guard>,
}

struct World {
    start: Instant,
    now: u64,
    rng: StdRng,
    channel: Channel,
    members: Vec<Member>,
    fences: Vec<(usize, u64)>,
    held_steps: u64,
}

impl World {
    fn new(seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let drift = u64::from(options().drift_ppm);
        let members = (0..HOLDERS).map(|at| {
            let name = Process::new(format!("entry-{at}"));
            let mut lease = Lease::new(options(), name, &mut rng);
            lease.acquire();
            let rate = MILLION - drift + rng.random_range(0..=2) * drift;
            Member {
                lease,
                rate,
                paused_until: 0,
                waiting: None,
                kept_guard: None,
            }
        });
        Self {
            start: clock::now(),
            now: 0,
            channel: Channel::default(),
            members: members.collect(),
            rng: StdRng::seed_from_u64(seed ^ 1),
            fences: Vec::new(),
            held_steps: 0,
        }
    }

    fn local(&self, at: usize) -> Instant {
        self.start + Duration::from_micros(self.now * 1000 * self.members[at].rate / MILLION)
    }

    /// Returns a delay in milliseconds: mostly short, occasionally longer than
    /// a lease.
    fn delay(&mut self) -> u64 {
        match self.rng.random_range(0..20) {
            0 => self.rng.random_range(1_000..25_000),
            1..4 => self.rng.random_range(50..3_000),
            _ => self.rng.random_range(0..10),
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let due: Vec<_> = self.channel.calls.extract_if(.., |c| c.0 <= now).collect();
        for (_, at, ticket, call) in due {
            let answer = self.channel.run(call);
            if !self.rng.random_bool(0.15) {
                let back = now + self.delay();
                self.channel.answers.push((back, at, ticket, answer));
            }
        }
        let due = self.channel.answers.extract_if(.., |a| a.0 <= now);
        for (_, at, ticket, answer) in due.collect::<Vec<_>>() {
            // A paused process reads its socket when it resumes.
            if self.members[at].paused_until > now {
                let resumed = self.members[at].paused_until;
                self.channel.answers.push((resumed, at, ticket, answer));
                continue;
            }
            let local = self.local(at);
            let member = &mut self.members[at];
            member.waiting.take_if(|(_, open)| *open == ticket);
            member.lease.answer(ticket, answer, local, &mut self.rng);
        }
    }

    fn tick(&mut self, at: usize) {
        let local = self.local(at);
        if self.rng.random_bool(0.0005) {
            let pause = self.rng.random_range(500..30_000);
            self.members[at].paused_until = self.now + pause;
        }
        if self.members[at].paused_until > self.now {
            return;
        }
        // A watch may deliver old versions again.
        if !self.channel.history.is_empty() && self.rng.random_bool(0.05) {
            let stale = self.rng.random_range(0..self.channel.history.len());
            let found = self.channel.history[stale].clone();
            self.members[at].lease.observe(Some(found), local);
        }
        let now = self.now;
        let member = &mut self.members[at];
        if let Some((_, ticket)) = member.waiting.take_if(|(limit, _)| *limit <= now) {
            let answer = Answer::Unanswered;
            member.lease.answer(ticket, answer, local, &mut self.rng);
        }
        match self.rng.random_range(0..400) {
            0 => member.lease.release(),
            1..6 => member.lease.acquire(),
            6..20 => member.kept_guard = member.lease.check(local),
            20..40 => member.kept_guard = None,
            _ => {}
        }
        if let Some((ticket, call)) = member.lease.poll(local) {
            member.waiting = Some((now + 1_000, ticket));
            let arrival = now + self.delay();
            self.channel.calls.push((arrival, at, ticket, call));
        }
    }

    /// Checks, in true time, that at most one process could act now: under its
    /// lease or with a guard from an earlier check.
    fn check(&mut self) -> Result<(), TestCaseError> {
        let mut holders = Vec::new();
        for at in 0..self.members.len() {
            let local = self.local(at);
            let member = &self.members[at];
            let kept_guard = member
                .kept_guard
                .as_ref()
                .filter(|guard| guard.check(local));
            let fresh = member.lease.check(local);
            if let Some(guard) = fresh.as_ref().or(kept_guard) {
                holders.push((at, guard.fence().0));
            }
        }
        prop_assert!(
            holders.len() <= 1,
            "two processes may act at {}: {holders:?}",
            self.now
        );
        if let Some(&holder) = holders.first() {
            self.held_steps += 1;
            let last = self.fences.last().copied().unwrap_or((usize::MAX, 0));
            if holder != last {
                let grown = holder.1 > last.1;
                prop_assert!(grown, "the fence did not grow: {last:?} {holder:?}");
                self.fences.push(holder);
            }
        }
        Ok(())
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 96,
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn at_most_one_process_may_act(seed in any::<u64>()) {
        let mut world = World::new(seed);
        for _ in 0..30_000 {
            world.now += 10;
            world.deliver();
            for at in 0..HOLDERS {
                world.tick(at);
            }
            world.check()?;
        }
        prop_assert!(world.held_steps > 1_000, "the lease was hardly held");
        prop_assert!(world.fences.len() > 2, "the holder never changed");
    }
}
