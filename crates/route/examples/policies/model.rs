//! A queueing model of endpoints with continuous batching, in virtual time.
//!
//! An endpoint runs up to `slots` requests, processes their prompts one after
//! the other, and generates tokens for all of them in steps whose duration
//! grows with the batch. Its prefix cache is bounded and evicts the least
//! recently used prefix.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::Duration;

use cactusnotch_route::{Load, Report, State};
use hdrhistogram::Histogram;
use rand::rngs::StdRng;

use crate::policy::Policy;
use crate::trace::{Job, Scenario};

/// The time to process a prompt token.
pub const TOKEN: Duration = Duration::from_micros(100);
/// The duration of a step with an empty batch.
pub const STEP: Duration = Duration::from_micros(4_500);
/// The time after which an attempt at a crashed endpoint counts as failed.
const FAILURE_TIMEOUT: Duration = Duration::from_millis(500);
/// Requests that arrive earlier are not counted.
const WARM_UP: Duration = Duration::from_secs(5);

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(usize),
    First(usize),
    Done(usize),
    TimedOut(usize),
    Kill(usize),
    Tick(usize),
    Report {
        endpoint: usize,
        entry: usize,
        load: [u32; 4],
    },
}

#[derive(Default, Clone)]
struct Engine {
    crashed: bool,
    slow: u32,
    running: u32,
    waiting: VecDeque<usize>,
    prompts: VecDeque<usize>,
    free_at: Duration,
    cache: VecDeque<u32>,
    of_entry: Vec<u32>,
    served: u64,
}

/// The state of a request in flight.
#[derive(Default, Clone)]
struct Run {
    endpoint: usize,
    tried: Vec<usize>,
    answered: bool,
}

/// The results of a run.
pub struct Figures {
    pub first: Histogram<u64>,
    pub good: u64,
    pub offered: u64,
    pub refused: u64,
    pub hits: u64,
    pub lookups: u64,
    pub served: Vec<u64>,
}

/// One run of one policy on one trace.
pub struct Model<'a, P> {
    scenario: &'a Scenario,
    jobs: &'a [Job],
    policy: P,
    engines: Vec<Engine>,
    runs: Vec<Run>,
    events: BinaryHeap<Reverse<(Duration, usize, Event)>>,
    order: usize,
    figures: Figures,
    rng: StdRng,
}

impl<'a, P: Policy> Model<'a, P> {
    pub fn new(scenario: &'a Scenario, jobs: &'a [Job], policy: P, rng: StdRng) -> Self {
        let engine = Engine {
            slow: 1,
            of_entry: vec![0; scenario.entries],
            ..Engine::default()
        };
        let mut engines = vec![engine; scenario.endpoints];
        engines[0].slow = scenario.slow;
        let figures = Figures {
            first: Histogram::new_with_bounds(1, 600_000_000, 3).expect("the bounds are valid"),
            good: 0,
            offered: 0,
            refused: 0,
            hits: 0,
            lookups: 0,
            served: Vec::new(),
        };
        let runs = vec![Run::default(); jobs.len()];
        let events = BinaryHeap::new();
        Self {
            scenario,
            jobs,
            policy,
            engines,
            runs,
            events,
            order: 0,
            figures,
            rng,
        }
    }

    /// Runs the trace to its end.
    pub fn run(mut self) -> Figures {
        for (job, at) in self.jobs.iter().map(|job| job.at).enumerate() {
            self.push(at, Event::Arrive(job));
        }
        for endpoint in 0..self.engines.len() {
            let share = u32::try_from(endpoint % 64).unwrap_or(0);
            self.push(self.scenario.interval * share / 64, Event::Tick(endpoint));
        }
        if let Some(at) = self.scenario.kill {
            self.push(at, Event::Kill(0));
        }
        let end = self.jobs.last().map_or(Duration::ZERO, |job| job.at);
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            if now > end {
                break;
            }
            self.handle(&event, now);
        }
        self.figures.served = self.engines.iter().map(|e| e.served).collect();
        self.figures
    }

    fn push(&mut self, at: Duration, event: Event) {
        self.order += 1;
        self.events.push(Reverse((at, self.order, event)));
    }

    fn handle(&mut self, event: &Event, now: Duration) {
        match *event {
            Event::Arrive(job) => self.arrive(job, now),
            Event::First(job) => self.first(job, now),
            Event::Done(job) => self.done(job, now),
            Event::TimedOut(job) => self.time_out(job, now),
            Event::Kill(endpoint) => self.kill(endpoint, now),
            Event::Tick(endpoint) => self.tick(endpoint, now),
            Event::Report {
                endpoint,
                entry,
                load,
            } => {
                let [requests, backlog, my_requests, my_backlog] = load;
                let report = Report {
                    state: State::Serving,
                    slots: self.scenario.slots,
                    total: Load { requests, backlog },
                    surcharge: 0,
                    mine: Some(Load {
                        requests: my_requests,
                        backlog: my_backlog,
                    }),
                    sharers: u32::try_from(self.scenario.entries).unwrap_or(u32::MAX),
                    age: self.scenario.lag,
                };
                self.policy.report(entry, endpoint, &report, now);
            }
        }
    }

    fn measured(&self, job: usize) -> bool {
        self.jobs[job].at >= WARM_UP
            && self.jobs[job].at + self.scenario.deadline * 2 < self.scenario.length
    }

    fn arrive(&mut self, job: usize, now: Duration) {
        let measured = self.measured(job);
        if self.runs[job].tried.is_empty() && measured {
            self.figures.offered += 1;
        }
        let tried = std::mem::take(&mut self.runs[job].tried);
        let chosen = self
            .policy
            .choose(job, &self.jobs[job], &tried, now, &mut self.rng);
        self.runs[job].tried = tried;
        let Some(endpoint) = chosen else {
            self.figures.refused += u64::from(measured);
            return;
        };
        self.runs[job].endpoint = endpoint;
        let engine = &mut self.engines[endpoint];
        if engine.crashed {
            self.push(now + FAILURE_TIMEOUT, Event::TimedOut(job));
            return;
        }
        engine.served += 1;
        engine.of_entry[self.jobs[job].entry] += 1;
        engine.waiting.push_back(job);
        self.admit(endpoint, now);
    }

    /// Assigns free slots of an engine to waiting requests.
    fn admit(&mut self, endpoint: usize, now: Duration) {
        while self.engines[endpoint].running < self.scenario.slots {
            let Some(job) = self.engines[endpoint].waiting.pop_front() else {
                return;
            };
            if now > self.jobs[job].at + self.scenario.deadline {
                self.leave(job, now);
                continue;
            }
            let tokens = self.uncached(endpoint, job);
            let engine = &mut self.engines[endpoint];
            engine.running += 1;
            engine.prompts.push_back(job);
            engine.free_at = engine.free_at.max(now) + TOKEN * tokens * engine.slow;
            let at = engine.free_at;
            self.push(at, Event::First(job));
        }
    }

    /// Looks up a prompt in an engine's prefix cache, stores it there, and returns
    /// the number of tokens left to process.
    fn uncached(&mut self, endpoint: usize, job: usize) -> u32 {
        let measured = u64::from(self.measured(job));
        let job = &self.jobs[job];
        let Some((prefix, tokens)) = job.prefix else {
            return job.tokens;
        };
        let cache = &mut self.engines[endpoint].cache;
        let found = cache.iter().position(|&p| p == prefix);
        if let Some(at) = found {
            cache.remove(at);
        } else if cache.len() >= self.scenario.cache {
            cache.pop_front();
        }
        cache.push_back(prefix);
        self.figures.lookups += measured;
        self.figures.hits += measured * u64::from(found.is_some());
        if found.is_some() {
            job.tokens - tokens
        } else {
            job.tokens
        }
    }

    fn first(&mut self, job: usize, now: Duration) {
        let endpoint = self.runs[job].endpoint;
        let engine = &mut self.engines[endpoint];
        engine.prompts.pop_front();
        if engine.crashed {
            self.push(now, Event::TimedOut(job));
            return;
        }
        let batch = f64::from(engine.running) / f64::from(self.scenario.slots);
        let step = STEP.mul_f64(1.0 + 0.5 * batch) * engine.slow;
        let done = now + step * self.jobs[job].pieces;
        self.push(
            done.min(self.jobs[job].at + self.scenario.deadline)
                .max(now),
            Event::Done(job),
        );
        self.runs[job].answered = done <= self.jobs[job].at + self.scenario.deadline;
        self.policy.first(job, now);
        if self.measured(job) {
            let time = now.saturating_sub(self.jobs[job].at).as_micros();
            self.figures
                .first
                .saturating_record(u64::try_from(time).unwrap_or(u64::MAX));
        }
    }

    fn done(&mut self, job: usize, now: Duration) {
        let endpoint = self.runs[job].endpoint;
        if self.engines[endpoint].crashed {
            self.policy.fail(job, now);
            return;
        }
        self.figures.good += u64::from(self.runs[job].answered && self.measured(job));
        self.engines[endpoint].running -= 1;
        self.leave(job, now);
        self.admit(endpoint, now);
    }

    /// Ends a request, either complete or cut off at its deadline.
    fn leave(&mut self, job: usize, now: Duration) {
        let endpoint = self.runs[job].endpoint;
        self.engines[endpoint].of_entry[self.jobs[job].entry] -= 1;
        let answered = self.runs[job].answered;
        self.policy
            .finish(job, answered.then_some(self.jobs[job].pieces), now);
    }

    /// Handles the time-out of an attempt and retries the request once.
    fn time_out(&mut self, job: usize, now: Duration) {
        self.policy.fail(job, now);
        let endpoint = self.runs[job].endpoint;
        if self.runs[job].tried.is_empty() {
            self.runs[job].tried.push(endpoint);
            self.arrive(job, now);
        }
    }

    fn kill(&mut self, endpoint: usize, now: Duration) {
        self.engines[endpoint].crashed = true;
        for job in std::mem::take(&mut self.engines[endpoint].waiting) {
            self.push(now + FAILURE_TIMEOUT, Event::TimedOut(job));
        }
    }

    fn tick(&mut self, endpoint: usize, now: Duration) {
        if self.engines[endpoint].crashed {
            return;
        }
        let engine = &self.engines[endpoint];
        let requests = engine.running + u32::try_from(engine.waiting.len()).unwrap_or(u32::MAX);
        let prompts = || engine.prompts.iter().chain(&engine.waiting);
        let total = prompts().map(|&job| self.jobs[job].tokens).sum();
        let mut reports = Vec::new();
        for &entry in self.policy.entries(endpoint) {
            let mine = prompts()
                .map(|&job| &self.jobs[job])
                .filter(|job| job.entry == entry);
            let mine = mine.map(|job| job.tokens).sum();
            let load = [requests, total, engine.of_entry[entry], mine];
            reports.push(Event::Report {
                endpoint,
                entry,
                load,
            });
        }
        for report in reports {
            self.push(now + self.scenario.lag, report);
        }
        self.push(now + self.scenario.interval, Event::Tick(endpoint));
    }
}
